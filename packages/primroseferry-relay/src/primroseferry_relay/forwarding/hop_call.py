"""One attempt that a gateway of another region makes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseferry_transport.calls import Header
from primroseferry_transport.calls import HttpCall

from ..attempts.attempt_call import AttemptCall
from ..attempts.attempt_call import answer_head
from ..attempts.outcome import Answered
from ..attempts.outcome import Lost
from ..attempts.outcome import NotRun
from ..endpoints.software_version import UNKNOWN_VERSION
from ..endpoints.software_version import VersionHash
from ..messages import AnswerHead
from ..messages import CompleteAnswer
from ..messages import end_to_end_headers
from .hop import HOP_HEADER
from .hop import OUTCOME_HEADER
from .hop import VERSION_DETAIL
from .hop import HopOutcome

if TYPE_CHECKING:
    from primroseferry_transport.calls import HttpReply
    from primroseferry_transport.curl_loop import CurlLoop

    from ..attempts.attempt_call import StreamSink
    from ..attempts.outcome import AttemptOutcome
    from ..messages import RelayRequest
    from ..streams.stream_binding import StreamBinding
    from .hop import HopRequest

# A round trip on the longest link, plus the retransmission of a lost packet.
CONNECT_TIMEOUT_MS = 700


class HopCall(AttemptCall):
    """An attempt through a gateway of another region.

    Connections between gateways are reused. When a reused connection breaks before the answer,
    libcurl may send the request again on a new one. The remote gateway rejects such a duplicate: it
    checks the hop id and the incarnation in the hop request.

    ``is_refused`` is set when the remote gateway answered that no endpoint received the request.
    """

    def __init__(
        self,
        loop: CurlLoop,
        address: str,
        request: RelayRequest,
        hop_request: HopRequest,
        sink: StreamSink | None,
        binding: StreamBinding | None = None,
    ) -> None:
        super().__init__(loop, sink, hop_request.last_event_id, binding)
        self._address = address
        self._request = request
        self._hop_request = hop_request
        self.is_refused = False

    def _http_call(self) -> HttpCall:
        request = self._request
        headers = [
            header
            for header in end_to_end_headers(request.headers)
            if header.name.lower() not in (HOP_HEADER.lower(), OUTCOME_HEADER.lower())
        ]
        headers.append(Header(HOP_HEADER, self._hop_request.encode()))
        has_body = bool(request.body) or request.method in ("POST", "PUT", "PATCH")
        return HttpCall(
            request.method,
            f"http://{self._address}/",
            headers=tuple(headers),
            body=request.body if has_body else None,
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
            timeout_ms=max(1, self._hop_request.deadline_ms),
            on_chunk=self._on_chunk if self._sink is not None else None,
            held_bytes=self._held_bytes,
            on_head=self._on_head,
            target=request.target,
            omits_default_headers=True,
            is_answer_kept=True,
        )

    def _on_head(self, head: HttpReply) -> bool:
        has_outcome = OUTCOME_HEADER.lower() in head.headers
        return super()._on_head(head) and has_outcome

    def _forwarded_head(self, reply: HttpReply) -> AnswerHead:
        return _without_outcome_header(answer_head(reply))

    def _written_version(self) -> VersionHash:
        """Return the version that the remote gateway names; those of earlier releases name none."""
        text = self._head.headers.get(OUTCOME_HEADER.lower(), "") if self._head else ""
        _, _, digits = text.partition(VERSION_DETAIL)
        try:
            return VersionHash(int(digits, 16))
        except ValueError:
            return UNKNOWN_VERSION

    def _outcome_of_reply(self, reply: HttpReply) -> AttemptOutcome:
        text, _, detail = reply.headers.get(OUTCOME_HEADER.lower(), "").partition(";")
        try:
            outcome = HopOutcome(text)
        except ValueError:
            return Lost("the remote gateway's answer has no valid outcome header")
        match outcome:
            case HopOutcome.NOT_RUN | HopOutcome.REFUSED:
                self.is_refused = outcome is HopOutcome.REFUSED
                return NotRun(detail, outcome is HopOutcome.NOT_RUN, _retry_after_s(reply))
            case HopOutcome.LOST | HopOutcome.DIED:
                return Lost(detail, is_connection_lost=outcome is HopOutcome.DIED)
            case HopOutcome.ANSWERED | HopOutcome.FAILED:
                if self._sink is not None and 200 <= reply.status < 300:
                    return self._outcome_of_stream(reply)
                answer = CompleteAnswer(self._forwarded_head(reply), reply.body)
                return Answered(answer, is_failure=outcome is HopOutcome.FAILED)


def _retry_after_s(reply: HttpReply) -> float | None:
    try:
        return float(reply.headers["retry-after"])
    except (KeyError, ValueError):
        return None


def _without_outcome_header(head: AnswerHead) -> AnswerHead:
    headers = tuple(line for line in head.headers if line.name.lower() != OUTCOME_HEADER.lower())
    return AnswerHead(head.status, head.reason, headers)
