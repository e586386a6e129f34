"""Record of the routing decisions for one request, logged when the request ends."""

from __future__ import annotations

import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from primroseferry_core.events import Event
from primroseferry_core.ids import Fingerprint
from primroseferry_core.logs import log_event

from .local_attempts import LocalOption
from .region_choice import RegionOption

if TYPE_CHECKING:
    from .attempts.outcome import AttemptOutcome
    from .endpoints.endpoint import Endpoint
    from .streams.resumptions import Resumption

# Of an id that a caller names, as logged.
MAX_ID_LENGTH = 80


@dataclass(slots=True)
class DecisionRecord:
    """Route, options, attempts and outcome of one request.

    ``started_s`` is the monotonic time at which the request arrived.
    """

    request_id: str
    started_s: float
    revision: int = 0
    route: str = ""
    service: str = ""
    workspace: str = ""
    outcome: str = ""
    reason: str = ""
    status: int = 0
    attempts: list[str] = field(default_factory=list)
    options: str = ""
    fingerprint: Fingerprint = Fingerprint("")
    held_part: Fingerprint = Fingerprint("")
    resumes: str = ""
    resumption: Resumption | None = None

    def note_options(self, local: LocalOption | None, remote: RegionOption | None) -> None:
        """Record the best local and remote options with their expected times to the first byte."""
        local_text = f"{local.choice.first_ms:.0f}" if local is not None else "-"
        remote_text = f"{remote.region}:{remote.first_ms:.0f}" if remote is not None else "-"
        self.options = f"here:{local_text} {remote_text}"

    def note_resumption(self, resumes: str, resumption: Resumption) -> None:
        """Record a stream that its caller takes up, and the version at which it may go on."""
        self.resumes = resumes[:MAX_ID_LENGTH]
        self.resumption = resumption

    def note_attempt(self, option: LocalOption | RegionOption) -> None:
        """Record the endpoint or gateway that the request is sent to."""
        self.attempts.append(f"{_target_text(option)} ({self.options})")

    def note_outcome(self, outcome: AttemptOutcome) -> None:
        """Add the outcome to the record of the last attempt."""
        reason = getattr(outcome, "reason", "")
        text = type(outcome).__name__ + (f": {reason}" if reason else "")
        self.attempts[-1] += f" -> {text}"

    @property
    def elapsed_ms(self) -> int:
        """Whole milliseconds since the request arrived."""
        return round((time.monotonic() - self.started_s) * 1000)

    @property
    def is_successful(self) -> bool:
        """Whether the request ended with an endpoint's answer that reports success."""
        return self.outcome == "answered" and 200 <= self.status < 300

    def close(self, outcome: str, status: int) -> None:
        """Record the outcome and the status sent to the caller, 0 if none was sent."""
        self.outcome = outcome
        self.status = status

    def log(self) -> None:
        """Write the record as one log line."""
        is_good = self.outcome in ("answered", "caller-left")
        extra = {} if is_good else {"fingerprint": str(self.fingerprint)}
        if self.workspace:
            extra["workspace"] = self.workspace
        if self.held_part:
            extra["held_part"] = str(self.held_part)
        if self.resumption is not None:
            extra["resumes"] = self.resumes
            extra["version_source"] = self.resumption.source.value
            extra["version"] = f"{self.resumption.version:016x}"
        log_event(
            Event.REQUEST_ANSWERED if is_good else Event.REQUEST_REFUSED,
            request_id=self.request_id,
            revision=self.revision,
            route=self.route,
            service=self.service,
            outcome=self.outcome,
            status=self.status,
            reason=self.reason,
            attempts=" | ".join(self.attempts),
            duration_ms=self.elapsed_ms,
            **extra,
        )


def _target_text(option: LocalOption | RegionOption) -> str:
    match option:
        case RegionOption():
            return option.target
        case LocalOption(endpoint, choice) if choice.copy is not None:
            return (
                f"{_endpoint_text(endpoint)} copying {choice.copy.tokens} from {choice.copy.source}"
            )
        case LocalOption(endpoint):
            return _endpoint_text(endpoint)


def _endpoint_text(endpoint: Endpoint) -> str:
    return f"{endpoint.endpoint}@{endpoint.version}" if endpoint.version else str(endpoint.endpoint)
