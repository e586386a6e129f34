"""What the relay asks of the adapter that speaks a deployment's header names."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol

from primroseferry_policy.prompt import NO_GENERATION

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from primroseferry_core.ids import EndpointId
    from primroseferry_core.ids import RequestId
    from primroseferry_policy.prompt import Generation
    from primroseferry_transport.calls import Header


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """What a caller's headers say. ``deadline_ms`` is counted from the request's arrival."""

    request_id: RequestId
    deadline_ms: float | None = None
    generation: Generation = NO_GENERATION
    last_event_id: str = ""


@dataclass(frozen=True, slots=True)
class SendOrder:
    """What this gateway says to an endpoint beside the caller's own headers.

    ``copy_from`` is the address of an engine that holds parts of the prompt, empty for none.
    """

    endpoint: EndpointId
    deadline_ms: float
    priority: int
    last_event_id: str = ""
    copy_from: str = ""


@dataclass(frozen=True, slots=True)
class ReplyFacts:
    """What an endpoint's headers say.

    ``request_id`` is the request that it answers, empty where it does not say. ``is_not_run``
    states that it did not run the request; ``is_signed`` that the answer is an endpoint's own.
    ``is_leaving`` says that it takes no new work from now on. ``rest_s`` is for how long it wants
    to be left alone after turning a request away, ``None`` where it does not say or the value
    cannot be meant.
    """

    request_id: str
    is_not_run: bool
    is_signed: bool
    cold_ms: float | None = None
    is_leaving: bool = False
    rest_s: float | None = None


class EndpointDialect(Protocol):
    """Header names of callers and endpoints, decoded and encoded in one place."""

    def read_request(self, headers: Sequence[Header]) -> RequestFacts:
        """Return what a caller's headers say."""

    def endpoint_headers(self, headers: Sequence[Header], order: SendOrder) -> list[Header]:
        """Return a caller's headers as an endpoint gets them."""

    def read_reply(self, headers: Mapping[str, str]) -> ReplyFacts:
        """Return what an endpoint's headers say; names are in lower case."""
