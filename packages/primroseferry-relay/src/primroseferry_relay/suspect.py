"""Under which names a request and the shared parts of its prompt are kept in the quarantine."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from primroseferry_core.hashing import request_fingerprint
from primroseferry_core.ids import Fingerprint
from primroseferry_policy.part_key import part_key

if TYPE_CHECKING:
    from collections.abc import Mapping

    from primroseferry_core.ids import ServiceId
    from primroseferry_policy.prompt import Generation

    from .messages import RelayRequest

# Shared parts of one prompt that crashes are held against.
MAX_SUSPECT_PARTS = 32
_CREDENTIAL_HEADER = "authorization"


@dataclass(frozen=True, slots=True)
class SuspectPart:
    """A part of a request's prompt that other prompts may contain too.

    ``key`` names it in the quarantine. ``depth`` is the number of parts before it. ``trial`` and
    ``admitted_level`` are as in ``Suspect``.
    """

    key: Fingerprint
    depth: int
    trial: str = ""
    admitted_level: int = 0


@dataclass(frozen=True, slots=True)
class Suspect:
    """Identity and quarantine state of a request.

    ``trial`` is the id of the trial that the request is sent in, or empty. ``admitted_level`` is
    its suspicion level at the time of admission. ``parts`` are the shared parts of its prompt.
    """

    fingerprint: Fingerprint
    trial: str = ""
    admitted_level: int = 0
    parts: tuple[SuspectPart, ...] = ()

    @property
    def is_on_trial(self) -> bool:
        """Whether the request is a trial of itself or of a part of its prompt."""
        return bool(self.trial) or any(part.trial for part in self.parts)

    def with_trials(self, trial: str, part_trials: Mapping[Fingerprint, str]) -> Suspect:
        """Return the request on the given trials; parts that have none keep no trial."""
        parts = tuple(replace(part, trial=part_trials.get(part.key, "")) for part in self.parts)
        return replace(self, trial=trial, parts=parts)

    def without_trials_of(self, other: Suspect) -> Suspect:
        """Return the request without the trials that ``other``, the same request, is on."""
        own = {part.key: part.trial for part in self.parts}
        for part in other.parts:
            if part.trial:
                own[part.key] = ""
        return self.with_trials("" if other.trial else self.trial, own)


@dataclass(frozen=True, slots=True)
class Admittance:
    """A request with its trials, and the seconds until it may be sent, 0 for now.

    ``held_part`` is the part of its prompt for which it must wait, empty for none.
    """

    suspect: Suspect
    wait_s: float = 0.0
    held_part: Fingerprint = Fingerprint("")


def suspect_of_request(
    request: RelayRequest,
    service: ServiceId,
    generation: Generation,
    fingerprint: Fingerprint | None = None,
) -> Suspect:
    """Return the identity of a request and of the shared parts of its prompt.

    ``fingerprint`` is its fingerprint at the gateway that received it, ``None`` to derive it.
    """
    parts = tuple(
        SuspectPart(part_key(service, part.part), depth)
        for depth, part in enumerate(generation.shared_parts[:MAX_SUSPECT_PARTS])
    )
    return Suspect(fingerprint or fingerprint_of_request(request), parts=parts)


def fingerprint_of_request(request: RelayRequest) -> Fingerprint:
    """Return a hash of caller, target and body, equal when the caller repeats the request.

    The content cannot be recovered from it. The caller is identified by its ``Authorization``
    header, or by its address where it sends none.
    """
    caller = request.caller
    for header in request.headers:
        if header.name.lower() == _CREDENTIAL_HEADER:
            caller = header.value
    return Fingerprint(request_fingerprint(caller, request.target, request.body))
