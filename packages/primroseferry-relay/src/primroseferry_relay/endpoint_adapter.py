"""Interface of the adapter that maps requests and replies to a deployment's header names."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Protocol

from primroseferry_policy.prompt import NO_GENERATION

if TYPE_CHECKING:
    from collections.abc import Sequence

    from primroseferry_core.ids import EndpointId
    from primroseferry_core.ids import RequestId
    from primroseferry_core.ids import WorkspaceId
    from primroseferry_policy.prompt import Generation
    from primroseferry_transport.calls import Header


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Values decoded from a caller's headers.

    ``deadline_ms`` is the time from the request's arrival to its deadline. ``last_event_id`` is the
    event after which a stream is taken up, ``resumes`` the id of the request that began the stream,
    empty if the caller names none or several. ``api_key`` is empty if the caller sends none or
    several. ``quota_tokens`` are the prompt tokens and the maximum output tokens together, ``None``
    if the caller does not name them.
    """

    request_id: RequestId
    deadline_ms: float | None = None
    generation: Generation = NO_GENERATION
    last_event_id: str = ""
    resumes: str = ""
    api_key: str = field(default="", repr=False)
    quota_tokens: int | None = None


@dataclass(frozen=True, slots=True)
class EndpointRequestOptions:
    """Values that the gateway sends to an endpoint in addition to the caller's headers.

    ``copy_from`` is the address of an engine that has parts of the prompt cached, or empty.
    ``workspace`` is the caller's, or ``None``.
    """

    endpoint: EndpointId
    deadline_ms: float
    priority: int
    last_event_id: str = ""
    copy_from: str = ""
    workspace: WorkspaceId | None = None


@dataclass(frozen=True, slots=True)
class EndpointLoadReport:
    """The load that an endpoint reports with an answer.

    ``slowdown`` is how many times its usual time work currently takes on its machine, ``None`` if
    it does not say so. It changes many times a second and may be false.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


@dataclass(frozen=True, slots=True)
class ReplyMetadata:
    """Values decoded from an endpoint's headers.

    ``request_id`` is the id of the answered request, empty if the header is missing.
    ``is_not_run``: the endpoint states that it did not run the request. ``is_signed``: the answer
    comes from the endpoint itself. ``is_leaving``: the endpoint accepts no new requests from now
    on. ``rest_s`` is the backoff in seconds that it asks for when it rejects a request, ``None`` if
    the value is missing or invalid. ``request_limit_per_s`` is the number of requests per second
    that it takes from all gateways together, ``None`` if it names no limit or an invalid one.
    ``rejections_per_s`` is how many requests it can reject in a second without falling over,
    ``None`` if it does not say that it is brittle. ``load`` is ``None`` if it reports none or an
    invalid one.
    """

    request_id: str
    is_not_run: bool
    is_signed: bool
    cold_ms: float | None = None
    is_leaving: bool = False
    rest_s: float | None = None
    request_limit_per_s: float | None = None
    has_invalid_request_limit: bool = False
    rejections_per_s: float | None = None
    load: EndpointLoadReport | None = None


class EndpointAdapter(Protocol):
    """Decodes and encodes the headers of callers and endpoints."""

    def read_request(self, headers: Sequence[Header]) -> RequestMetadata:
        """Decode a caller's headers."""

    def endpoint_headers(
        self, headers: Sequence[Header], options: EndpointRequestOptions
    ) -> list[Header]:
        """Return the headers to send to an endpoint, from a caller's headers and ``options``."""

    def without_credentials(self, headers: Sequence[Header]) -> tuple[Header, ...]:
        """Return a caller's headers without its API key and any workspace that it names."""

    def ping_headers(self, endpoint: EndpointId) -> list[Header]:
        """Return the headers of a request that ``endpoint`` answers but does not run."""

    def health_headers(self, endpoint: EndpointId) -> list[Header]:
        """Return the headers of a request for the health of ``endpoint`` and no other."""

    def read_reply(self, headers: Sequence[Header]) -> ReplyMetadata:
        """Decode an endpoint's headers."""
