"""A stand-in for a model engine: continuous batching, streams, resume, prefix cache, load reports.

Each token is a function of the prompt and its position, as with greedy decoding, so any engine can
continue another engine's answer with identical tokens. A request with ``Last-Event-ID`` resumes
after that event.
"""

from __future__ import annotations

import json
import os
import sys
import threading
import time
from collections import OrderedDict
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

import xxhash
from primroseferry_transport.curl_loop import CurlLoop
from primroseferry_transport.router import Router
from primroseferry_transport.serving import response_head_bytes
from primroseferry_transport.socket_writer import SocketWriter

from .control import control_routes
from .control import json_response
from .control import read_json
from .control import run_until_killed
from .control import serve_routes

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_transport.serving import Exchange
    from werkzeug.wrappers import Response

PREFIX_BLOCK_CHARACTERS = 256
DEFAULT_MAX_TOKENS = 64
CHARACTERS_PER_TOKEN = 4
MAX_CACHE_EVENTS = 1_024
MAX_LOGGED_PROMPT_CHARACTERS = 200


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """The speed and capacity of an engine.

    ``step_ms`` is the time between two tokens of a stream, ``prefill_tokens_per_s`` the prefill
    rate, ``slots`` the maximum number of streams in a batch and ``cache_blocks`` the capacity of
    the prefix cache. Load reports and cache events are published with a lag. With ``checks_fence``
    the engine rejects orders with an old fencing token.
    """

    model: str
    slots: int = 16
    step_ms: float = 10.0
    prefill_tokens_per_s: float = 20_000.0
    cache_blocks: int = 256
    load_lag_ms: int = 0
    cache_event_lag_ms: int = 500
    price: float = 1.0
    checks_fence: bool = True


@dataclass(frozen=True, slots=True)
class _CacheEvent:
    at_s: float
    sequence: int
    block: int
    is_added: bool


@dataclass(slots=True)
class _Stream:
    request_id: str
    prompt: str
    next_event: int
    last_event: int
    priority: int
    write: Callable[[bytes], bool]
    finished: threading.Event = field(default_factory=threading.Event)
    prefill_left_ms: float = 0.0
    is_cancelled: bool = False


class Engine:
    """The batch, the prefix cache and the faults of one engine."""

    def __init__(self, spec: EngineSpec) -> None:
        self.spec = spec
        self._running: list[_Stream] = []
        self._queued: list[_Stream] = []
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._cache_events: deque[_CacheEvent] = deque(maxlen=MAX_CACHE_EVENTS)
        self._cache_sequence = 0
        self._load_reports: deque[tuple[float, dict[str, Any]]] = deque([(0.0, self._report())])
        self._tokens_sent = 0
        self._lock = threading.Condition()
        self._loop = CurlLoop("engine")
        self._load_lag_ms = spec.load_lag_ms
        self._crash_marker = ""
        self._break_after_events = 0
        self._gap_every = 0
        self._hold_at_event = 0
        self._is_leaving = False
        self._is_frozen = False
        self._orders: list[dict[str, Any]] = []
        self._fence = 0
        self._version = "v1"
        threading.Thread(target=self._run_batch, name="batch", daemon=True).start()

    def routes(self) -> Router:
        """Return the routes of the engine's HTTP interface."""
        router = Router()
        router.add("POST", "/v1/chat/completions", self._handle_chat)
        router.add("GET", "/v1/load", self._get_load)
        router.add("GET", "/v1/cache-events", self._get_cache_events)
        router.add("DELETE", "/v1/requests/<request_id>", self._cancel)
        router.add("POST", "/v1/orders", self._handle_order)
        router.add("GET", "/v1/orders", lambda exchange: json_response(self._order_state()))
        return router

    def set_fault(self, fault: dict[str, Any]) -> None:
        """Set faults. The value 0 or an empty string clears a fault.

        ``crash_marker`` ends the process on a request whose body contains it.
        ``break_after_events`` ends streams after this event, ``hold_at_event`` pauses them before
        this event, and ``frozen`` stops the batch. ``gap_every`` omits every n-th cache event.
        ``load_lag_ms`` is the age of load reports, and ``leaving`` is reported with the load.
        """
        with self._lock:
            self._crash_marker = str(fault.get("crash_marker", self._crash_marker))
            self._break_after_events = int(
                fault.get("break_after_events", self._break_after_events)
            )
            self._load_lag_ms = int(fault.get("load_lag_ms", self._load_lag_ms))
            self._gap_every = int(fault.get("gap_every", self._gap_every))
            self._is_leaving = bool(fault.get("leaving", self._is_leaving))
            self._is_frozen = bool(fault.get("frozen", self._is_frozen))
            self._hold_at_event = int(fault.get("hold_at_event", self._hold_at_event))
            self._lock.notify_all()

    def state(self) -> dict[str, Any]:
        """Return the running and held requests, the number of tokens sent and the accepted orders.

        Starts of requests are not part of it; they are written to standard error, which survives a
        crash of the process.
        """
        with self._lock:
            return {
                "running": [stream.request_id for stream in self._running],
                "held": [
                    stream.request_id
                    for stream in self._running
                    if stream.next_event == self._hold_at_event and stream.prefill_left_ms <= 0
                ],
                "tokens_sent": self._tokens_sent,
                "orders": list(self._orders),
                **self._order_state(),
            }

    def _handle_chat(self, exchange: Exchange) -> Response | None:
        body = exchange.read_body()
        if self._crash_marker and self._crash_marker.encode() in body:
            os._exit(134)
        request = json.loads(body)
        prompt = json.dumps(request.get("messages", []), sort_keys=True)
        if request.get("model") != self.spec.model:
            return json_response({"error": f"this engine serves {self.spec.model}"}, 404)
        resume_after = int(exchange.request.headers.get("Last-Event-ID", "0"))
        connection = exchange.take_connection()
        writer = SocketWriter(connection, self._loop)
        head = response_head_bytes("200 OK", [("Content-Type", "text/event-stream")])
        writer.write(head)
        stream = _Stream(
            request_id=exchange.request.headers.get("X-Request-Id", ""),
            prompt=prompt,
            next_event=resume_after + 1,
            last_event=int(request.get("max_tokens", DEFAULT_MAX_TOKENS)),
            priority=int(request.get("priority", 0)),
            write=writer.write,
        )
        self._enqueue(stream)
        stream.finished.wait()
        writer.wait_flushed(5.0)
        return None

    def _enqueue(self, stream: _Stream) -> None:
        with self._lock:
            started = {
                "request_id": stream.request_id,
                "at_s": time.time(),
                "prompt": stream.prompt[:MAX_LOGGED_PROMPT_CHARACTERS],
            }
            print(json.dumps({"started": started}), file=sys.stderr, flush=True)
            stream.prefill_left_ms = self._prefill_ms(stream.prompt)
            self._queued.append(stream)
            self._queued.sort(key=lambda queued: -queued.priority)
            self._lock.notify_all()

    def _prefill_ms(self, prompt: str) -> float:
        """Return the prefill time of the prompt's uncached blocks, and cache the prompt."""
        blocks = []
        hasher = xxhash.xxh3_64()
        for start in range(0, len(prompt), PREFIX_BLOCK_CHARACTERS):
            hasher.update(prompt[start : start + PREFIX_BLOCK_CHARACTERS].encode())
            blocks.append(hasher.intdigest())
        is_cached = True
        missing = 0
        for block in blocks:
            is_cached = is_cached and block in self._cache
            if not is_cached:
                missing += 1
            self._cache_block(block)
        missing_tokens = missing * PREFIX_BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN
        return missing_tokens / self.spec.prefill_tokens_per_s * 1000

    def _cache_block(self, block: int) -> None:
        if block not in self._cache:
            self._publish_cache_event(block, True)
        self._cache[block] = None
        self._cache.move_to_end(block)
        while len(self._cache) > self.spec.cache_blocks:
            dropped, _ = self._cache.popitem(last=False)
            self._publish_cache_event(dropped, False)

    def _publish_cache_event(self, block: int, is_added: bool) -> None:
        self._cache_sequence += 1
        if self._gap_every and self._cache_sequence % self._gap_every == 0:
            return
        event = _CacheEvent(time.monotonic(), self._cache_sequence, block, is_added)
        self._cache_events.append(event)

    def _run_batch(self) -> None:
        next_step_s = time.monotonic()
        while True:
            with self._lock:
                while (not self._running and not self._queued) or self._is_frozen:
                    self._lock.wait()
                    next_step_s = time.monotonic()
                while self._queued and len(self._running) < self.spec.slots:
                    self._running.append(self._queued.pop(0))
                batch = list(self._running)
                self._record_load()
            self._step(batch)
            next_step_s += self.spec.step_ms / 1000
            time.sleep(max(0.0, next_step_s - time.monotonic()))

    def _step(self, batch: list[_Stream]) -> None:
        prefill_budget_ms = self.spec.step_ms
        ended = []
        for stream in batch:
            if stream.prefill_left_ms > 0:
                spent_ms = min(prefill_budget_ms, stream.prefill_left_ms)
                stream.prefill_left_ms -= spent_ms
                prefill_budget_ms -= spent_ms
                is_done = stream.is_cancelled
            else:
                is_done = not self._send_token(stream)
            if is_done:
                ended.append(stream)
        if ended:
            with self._lock:
                self._running = [stream for stream in self._running if stream not in ended]
                self._record_load()
        for stream in ended:
            stream.finished.set()

    def _send_token(self, stream: _Stream) -> bool:
        """Send the next token; return ``False`` at the end of the stream."""
        if stream.is_cancelled:
            return False
        if self._break_after_events and stream.next_event > self._break_after_events:
            return False
        index = stream.next_event
        if index == self._hold_at_event:
            return True
        if index > stream.last_event:
            stream.write(b"data: [DONE]\n\n")
            return False
        is_last = index == stream.last_event
        data = event_bytes(self.spec.model, stream.prompt, index, is_last)
        if is_last:
            data += b"data: [DONE]\n\n"
        stream.next_event += 1
        self._tokens_sent += 1
        return stream.write(data) and not is_last

    def _report(self) -> dict[str, Any]:
        return {
            "running": len(self._running),
            "queued": len(self._queued),
            "slots": self.spec.slots,
            "step_ms": self.spec.step_ms,
            "price": self.spec.price,
        }

    def _record_load(self) -> None:
        now_s = time.monotonic()
        self._load_reports.append((now_s, self._report()))
        visible_until_s = now_s - self._load_lag_ms / 1000
        while len(self._load_reports) > 1 and self._load_reports[1][0] <= visible_until_s:
            self._load_reports.popleft()

    def _get_load(self, exchange: Exchange) -> Response:
        with self._lock:
            self._record_load()
            report = dict(self._load_reports[0][1])
            report["leaving"] = self._is_leaving
        return json_response(report)

    def _get_cache_events(self, exchange: Exchange) -> Response:
        after = exchange.request.args.get("after", 0, type=int)
        visible_until_s = time.monotonic() - self.spec.cache_event_lag_ms / 1000
        with self._lock:
            rows = [row for row in self._cache_events if row.sequence > after]
        events = [
            {"sequence": row.sequence, "block": row.block, "added": row.is_added}
            for row in rows
            if row.at_s <= visible_until_s
        ]
        return json_response({"events": events})

    def _cancel(self, exchange: Exchange, request_id: str) -> Response:
        with self._lock:
            found = [row for row in self._running + self._queued if row.request_id == request_id]
            for stream in found:
                stream.is_cancelled = True
        return json_response({"cancelled": len(found)})

    def _handle_order(self, exchange: Exchange) -> Response:
        order = read_json(exchange)
        fence = int(order["fence"])
        with self._lock:
            if self.spec.checks_fence and fence < self._fence:
                return json_response({"error": "old fencing token", "fence": self._fence}, 409)
            self._fence = max(self._fence, fence)
            self._version = str(order["version"])
            self._orders.append({**order, "at_s": time.time()})
            return json_response(self._order_state())

    def _order_state(self) -> dict[str, Any]:
        return {"version": self._version, "fence": self._fence}


def event_bytes(model: str, prompt: str, index: int, is_last: bool) -> bytes:
    """Return the server-sent event of one token; ``index`` starts at 1."""
    word = _word(prompt, index)
    reason = '"stop"' if is_last else "null"
    return (
        f'id: {index}\ndata: {{"object":"chat.completion.chunk","model":"{model}",'
        f'"choices":[{{"index":0,"delta":{{"content":"{word}"}},"finish_reason":{reason}}}]}}\n\n'
    ).encode()


def answer_words(content: str, count: int) -> tuple[str, ...]:
    """Return the first ``count`` tokens of every engine's answer to one user message."""
    prompt = json.dumps([{"role": "user", "content": content}], sort_keys=True)
    return tuple(_word(prompt, index) for index in range(1, count + 1))


def _word(prompt: str, index: int) -> str:
    return f"{xxhash.xxh3_64_intdigest(f'{prompt}{index}'.encode()) & 0xFFFFF:05x} "


def run(port: int, control_port: int, spec: EngineSpec) -> None:
    """Run the stand-in until it is killed."""
    engine = Engine(spec)
    server = serve_routes(port, "engine", engine.routes())
    control = serve_routes(control_port, "control", control_routes(engine.set_fault, engine.state))
    ports = {"port": server.port, "control_port": control.port}
    run_until_killed("engine", ports)
