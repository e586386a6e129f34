"""Serves metrics and a dump of the state to operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseferry_core.errors import ErrorKind
from primroseferry_core.errors import Problem
from primroseferry_transport.calls import Header
from result import Err
from result import Ok

from ..explanation import parse_query
from ..messages import AnswerHead
from ..messages import CompleteAnswer
from ..messages import json_answer
from ..messages import problem_answer

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from ..explanation import Explanation
    from ..ingress.answer_channel import AnswerChannel
    from ..messages import RelayRequest
    from .relay_metrics import RelayGauges
    from .relay_metrics import RelayMetrics


class Inspection:
    """Handles the requests to the operators' port: ``/metrics``, ``/state`` and ``/explain``."""

    def __init__(
        self,
        metrics: RelayMetrics,
        gauges: Callable[[], RelayGauges],
        state: Callable[[], Mapping[str, object]],
        explanation: Explanation,
    ) -> None:
        self._explanation = explanation
        self._metrics = metrics
        self._gauges = gauges
        self._state = state

    def serve(self, request: RelayRequest, channel: AnswerChannel) -> None:
        """Answer one request."""
        match request.path:
            case "/metrics":
                accept = [line.value for line in request.headers if line.name.lower() == "accept"]
                content, headers = self._metrics.render(self._gauges(), accept)
                lines = tuple(Header(name, value) for name, value in headers.items())
                channel.send(CompleteAnswer(AnswerHead(200, "OK", lines), content))
            case "/state":
                channel.send(json_answer(200, self._state()))
            case "/explain":
                channel.send(self._explain(request, channel))
            case _:
                detail = "unknown path; use /metrics, /state or /explain"
                channel.send(problem_answer(Problem(ErrorKind.UNKNOWN_PATH, detail)))

    def _explain(self, request: RelayRequest, channel: AnswerChannel) -> CompleteAnswer:
        query = parse_query(request.target.partition("?")[2])
        match query.and_then(lambda parsed: self._explanation.explain(parsed, channel)):
            case Ok(fields):
                return json_answer(200, fields)
            case Err(problem):
                return problem_answer(problem)
            case _:
                raise AssertionError("a result is an answer or a problem")
