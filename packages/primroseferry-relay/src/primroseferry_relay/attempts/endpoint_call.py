"""One request on one endpoint: sent once, on a connection of its own.

libcurl sends a request again on its own when a reused connection breaks before the answer. A new
connection for each request prevents this. It also keeps a late or surplus answer from being taken
for the answer to the next request.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseferry_transport.calls import FailureStage
from primroseferry_transport.calls import HttpCall

from ..messages import CompleteAnswer
from ..messages import end_to_end_headers
from .attempt_call import AttemptCall
from .attempt_call import answer_head
from .outcome import Answered
from .outcome import Lost
from .outcome import NotRun

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_transport.calls import HttpFailure
    from primroseferry_transport.calls import HttpReply
    from primroseferry_transport.curl_loop import CurlLoop

    from ..endpoint_adapter import EndpointAdapter
    from ..endpoint_adapter import EndpointRequestOptions
    from ..endpoint_adapter import ReplyMetadata
    from ..endpoints.endpoint import Endpoint
    from ..endpoints.software_version import VersionHash
    from ..messages import RelayRequest
    from ..streams.stream_binding import StreamBinding
    from .attempt_call import StreamSink
    from .outcome import AttemptOutcome

# Endpoints are in the same region: a connection that takes longer is unlikely to succeed soon.
CONNECT_TIMEOUT_MS = 400
UNSIGNED_REASON = "the answer is not signed by the endpoint"
# Statuses that assure the caller that its request has not run and will not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(frozen=True, slots=True)
class EndpointAttempt:
    """The endpoint, request and time limits of one attempt.

    ``first_byte_timeout_ms`` is set only for a request that may be sent again, ``binding`` only for
    a stream that may be resumed.
    """

    endpoint: Endpoint
    request: RelayRequest
    request_id: str
    options: EndpointRequestOptions
    first_byte_timeout_ms: int | None = None
    binding: StreamBinding | None = None


class EndpointCall(AttemptCall):
    """An attempt on an endpoint of this region.

    ``on_reply`` gets the status and the parsed headers of an answer to this request, before its
    body. ``outlives_answer`` returns whether the endpoint's process still runs after an answer
    without a length or chunks; if not, the answer was broken off. ``written_version`` returns the
    software version of the endpoint's answer.
    """

    def __init__(
        self,
        loop: CurlLoop,
        adapter: EndpointAdapter,
        attempt: EndpointAttempt,
        sink: StreamSink | None,
        on_reply: Callable[[int, ReplyMetadata], None],
        outlives_answer: Callable[[ReplyMetadata], bool],
        written_version: Callable[[], VersionHash],
    ) -> None:
        super().__init__(loop, sink, attempt.options.last_event_id, attempt.binding)
        self._get_written_version = written_version
        self._adapter = adapter
        self._attempt = attempt
        self._on_reply = on_reply
        self._outlives_answer = outlives_answer
        self._metadata: ReplyMetadata | None = None
        self._has_other_request_id = False

    def _http_call(self) -> HttpCall:
        attempt = self._attempt
        request = attempt.request
        headers = self._adapter.endpoint_headers(
            end_to_end_headers(request.headers), attempt.options
        )
        has_body = bool(request.body) or request.method in ("POST", "PUT", "PATCH")
        return HttpCall(
            request.method,
            f"http://{attempt.endpoint.address}/",
            headers=tuple(headers),
            body=request.body if has_body else None,
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
            timeout_ms=max(1, int(attempt.options.deadline_ms)),
            first_byte_timeout_ms=attempt.first_byte_timeout_ms,
            on_chunk=self._on_chunk if self._sink is not None else None,
            held_bytes=self._held_bytes,
            on_head=self._on_head,
            is_repeatable=False,
            target=request.target,
            omits_default_headers=True,
            is_answer_kept=True,
        )

    def _on_head(self, head: HttpReply) -> bool:
        super()._on_head(head)
        self._metadata = self._adapter.read_reply(head.header_lines)
        self._has_other_request_id = self._metadata.request_id not in ("", self._attempt.request_id)
        if self._has_other_request_id:
            return False
        self._on_reply(head.status, self._metadata)
        # The events of a stream are forwarded before its answer is evaluated.
        return self._sink is None or self._metadata.is_signed or not 200 <= head.status < 300

    def _outcome_of_reply(self, reply: HttpReply) -> AttemptOutcome:
        metadata = self._metadata
        if metadata is None:
            return Lost("the endpoint's answer has no head")
        is_success = 200 <= reply.status < 300
        is_end_known = reply.is_framed or self._attempt.request.method == "HEAD"
        if not is_end_known and not self._outlives_answer(metadata):
            return self._interrupted("the endpoint ended with its answer", is_connection_lost=True)
        if metadata.is_not_run and not is_success:
            return NotRun(f"status {reply.status}, the request did not run", is_sent=True)
        if is_success and not metadata.is_signed:
            return Lost(UNSIGNED_REASON)
        if is_success and self._sink is not None:
            return self._outcome_of_stream(reply)
        if reply.status in NOT_RUN_STATUSES:
            return Lost(f"status {reply.status} without proof that the request did not run")
        answer = CompleteAnswer(answer_head(reply), reply.body)
        return Answered(answer, is_failure=reply.status >= 500, is_framed=is_end_known)

    def _written_version(self) -> VersionHash:
        return self._get_written_version()

    @property
    def _is_signed(self) -> bool:
        return self._metadata is not None and self._metadata.is_signed

    def _outcome_of_failure(self, failure: HttpFailure) -> AttemptOutcome:
        if self._has_other_request_id:
            return Lost("the endpoint's answer belongs to another request")
        is_stopped = failure.stage in (FailureStage.STOPPED_BY_CALLER, FailureStage.NO_MEMORY)
        if is_stopped and not self._is_signed:
            return Lost(UNSIGNED_REASON)
        return super()._outcome_of_failure(failure)
