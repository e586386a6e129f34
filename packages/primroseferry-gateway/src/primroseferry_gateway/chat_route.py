"""The HTTP route of chat requests."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from primroseferry_core.errors import ErrorKind
from primroseferry_core.errors import ProblemError
from primroseferry_core.errors import problem_error
from primroseferry_core.events import Event
from primroseferry_core.ids import ModelId
from primroseferry_core.ids import new_request_id
from primroseferry_core.logs import log_event
from primroseferry_transport.disconnect_watch import watch_disconnect
from primroseferry_transport.serving import problem_response
from primroseferry_transport.serving import response_bytes
from primroseferry_transport.socket_writer import SocketWriter
from werkzeug.wrappers import Response

from .answer_stream import AnswerStream
from .chat import ChatRequest
from .request_parsing import needed_within_ms
from .request_parsing import parse_chat_body
from .sinks import CollectSink
from .sinks import HttpStreamSink
from .work_estimates import chat_demand

if TYPE_CHECKING:
    from primroseferry_transport.curl_loop import CurlLoop
    from primroseferry_transport.serving import Exchange

    from .chat import ChatService
    from .request_context import RequestContext
    from .request_intake import Caller
    from .request_intake import RequestIntake


class ChatRoute:
    """Answers ``POST /v1/chat/completions`` with a stream or a single JSON document."""

    def __init__(
        self, intake: RequestIntake, chat: ChatService, loop: CurlLoop, default_timeout_ms: int
    ) -> None:
        self._intake = intake
        self._chat = chat
        self._loop = loop
        self._default_timeout_ms = default_timeout_ms

    def serve(self, exchange: Exchange) -> Response | None:
        """Answer one request; ``None`` if the connection was taken over for the answer."""
        request_id = new_request_id()

        def run() -> Response | None:
            caller = self._intake.identify(exchange)
            timeout_ms = needed_within_ms(exchange.request, self._default_timeout_ms)
            body = parse_chat_body(exchange.read_body())
            model = ModelId(body["model"])
            use = caller.plan.find_model(model)
            if use is None:
                raise self._unknown_model(caller, model)
            chat = ChatRequest(body, chat_demand(caller.client.customer, body))
            content = json.dumps(body, sort_keys=True).encode()
            context = self._intake.context(request_id, caller, str(model), content, timeout_ms)
            with self._intake.hold_capacity(caller.plan, model, use.max_open_requests):
                if body.get("stream", False):
                    return self._stream_chat(exchange, context, chat)
                return self._collect_chat(exchange, context, chat)

        return self._intake.answer(request_id, "chat", run)

    def _stream_chat(
        self, exchange: Exchange, context: RequestContext, chat: ChatRequest
    ) -> Response | None:
        writer = SocketWriter(exchange.take_connection(), self._loop)
        sink = HttpStreamSink(writer, context.request_id, exchange.supports_chunked_responses())
        stream = AnswerStream(sink)
        try:
            with watch_disconnect(self._loop, exchange.connection, writer.abort):
                is_answered = self._chat.serve(context, chat, stream)
        except ProblemError as error:
            if sink.is_started:
                sink.fail(error.problem)
            else:
                writer.write(response_bytes(problem_response(error.problem, context.request_id)))
                writer.wait_flushed(1.0)
            raise
        if not is_answered or not sink.finish(stream):
            event = Event.CALLER_TOO_SLOW if writer.is_too_slow else Event.CALLER_DISCONNECTED
            log_event(event, request_id=context.request_id)
        return None

    def _collect_chat(
        self, exchange: Exchange, context: RequestContext, chat: ChatRequest
    ) -> Response | None:
        sink = CollectSink()
        stream = AnswerStream(sink)
        with watch_disconnect(self._loop, exchange.connection, sink.abandon):
            is_answered = self._chat.serve(context, chat, stream)
        if not is_answered:
            exchange.take_connection()
            log_event(Event.CALLER_DISCONNECTED, request_id=context.request_id)
            return None
        text, reason = sink.text_and_finish_reason()
        answer = {
            "id": f"chatcmpl-{context.request_id}",
            "object": "chat.completion",
            "model": chat.body["model"],
            "choices": [
                {
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "finish_reason": reason,
                }
            ],
            "usage": {"completion_tokens": stream.delivered},
            "primroseferry": {
                "request_id": context.request_id,
                "events": stream.delivered,
                "crc32": stream.checksum,
            },
        }
        response = Response(json.dumps(answer) + "\n", content_type="application/json")
        response.headers["X-Request-Id"] = context.request_id
        return response

    def _unknown_model(self, caller: Caller, model: ModelId) -> ProblemError:
        is_known = any(use.find_model(model) for use in self._intake.document.plans)
        if is_known:
            detail = f"plan {caller.plan.plan} does not permit model {model}"
            return problem_error(ErrorKind.NOT_PERMITTED, detail)
        return problem_error(ErrorKind.UNKNOWN_MODEL, f"no plan contains the model {model[:80]!r}")
