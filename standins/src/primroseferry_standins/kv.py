"""A stand-in for the platform's key-value service.

It supports compare-and-swap, leases, watches and a maximum value size. It counts every call; a
watch counts once, however long it waits. Faults make it unavailable or slow, or make it lose the
answers of writes that took effect.
"""

from __future__ import annotations

import base64
import threading
import time
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from primroseferry_transport.router import Router
from werkzeug.wrappers import Response

from .control import control_routes
from .control import json_response
from .control import run_until_killed
from .control import serve_routes
from .gate import Gate

if TYPE_CHECKING:
    from primroseferry_transport.serving import Exchange

MAX_VALUE_BYTES = 1_048_576
MAX_WATCH_MS = 60_000


@dataclass(slots=True)
class _Entry:
    value: bytes
    revision: int
    lease: str


@dataclass(slots=True)
class _Lease:
    ttl_ms: int
    expires_s: float


class KeyValueStore:
    """Keys with revisions, and the leases that keys can depend on."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._leases: dict[str, _Lease] = {}
        self._revision = 0
        self._changed = threading.Condition()

    def get(self, key: str) -> _Entry | None:
        """Return the entry of ``key``, or ``None``."""
        with self._changed:
            self._remove_expired()
            return self._entries.get(key)

    def list_keys(self, prefix: str) -> dict[str, _Entry]:
        """Return the entries whose keys start with ``prefix``."""
        with self._changed:
            self._remove_expired()
            return {key: row for key, row in self._entries.items() if key.startswith(prefix)}

    def compare_and_swap(
        self, key: str, expected: int | None, value: bytes | None, lease: str
    ) -> int | None:
        """Write ``value``, or delete the key if ``value`` is ``None``, and return the new revision.

        Return ``None`` without a write if the key's revision differs from ``expected`` (0 for a
        missing key, ``None`` for any) or if ``lease`` has expired. An empty ``lease`` means none.
        """
        with self._changed:
            self._remove_expired()
            entry = self._entries.get(key)
            current = entry.revision if entry is not None else 0
            if expected is not None and expected != current:
                return None
            if lease and lease not in self._leases:
                return None
            self._revision += 1
            if value is None:
                self._entries.pop(key, None)
            else:
                self._entries[key] = _Entry(value, self._revision, lease)
            self._changed.notify_all()
            return self._revision

    def watch(self, key: str, after: int, wait_s: float) -> _Entry | None:
        """Wait for a revision of ``key`` above ``after``; return ``None`` on a timeout."""
        deadline_s = time.monotonic() + wait_s
        with self._changed:
            while True:
                entry = self._entries.get(key)
                if entry is not None and entry.revision > after:
                    return entry
                remaining_s = deadline_s - time.monotonic()
                if remaining_s <= 0:
                    return None
                self._changed.wait(remaining_s)

    def grant(self, ttl_ms: int) -> str:
        """Grant a lease and return its id."""
        with self._changed:
            self._revision += 1
            lease = f"lease-{self._revision}"
            self._leases[lease] = _Lease(ttl_ms, time.monotonic() + ttl_ms / 1000)
            return lease

    def keep_alive(self, lease: str) -> bool:
        """Renew a lease; return ``False`` if it has expired."""
        with self._changed:
            self._remove_expired()
            record = self._leases.get(lease)
            if record is None:
                return False
            record.expires_s = time.monotonic() + record.ttl_ms / 1000
            return True

    def expire_lease(self, lease: str) -> None:
        """Expire a lease at once, as if its holder had been paused for longer than its TTL."""
        with self._changed:
            if lease in self._leases:
                self._leases[lease].expires_s = 0.0
            self._remove_expired()

    def _remove_expired(self) -> None:
        now_s = time.monotonic()
        expired = [lease for lease, record in self._leases.items() if record.expires_s <= now_s]
        for lease in expired:
            del self._leases[lease]
        if expired:
            self._entries = {
                key: row for key, row in self._entries.items() if row.lease not in expired
            }


class KeyValueService:
    """The HTTP interface of the store, with its faults and call counts."""

    def __init__(self) -> None:
        self.store = KeyValueStore()
        self._counts: Counter[str] = Counter()
        self._is_down = False
        self._delay_ms = 0
        self._answers_to_lose = 0
        self._lose_prefix = ""
        self._hold_prefix = ""
        self._before_write = Gate()
        self._after_write = Gate()

    def routes(self) -> Router:
        """Return the routes of the service's HTTP interface."""
        router = Router()
        router.add("GET", "/v1/kv/<path:key>", self._get)
        router.add("PUT", "/v1/kv/<path:key>", self._put)
        router.add("DELETE", "/v1/kv/<path:key>", self._delete)
        router.add("GET", "/v1/keys", self._list)
        router.add("GET", "/v1/watch/<path:key>", self._watch)
        router.add("POST", "/v1/leases", self._grant)
        router.add("PUT", "/v1/leases/<lease>", self._keep_alive)
        return router

    def set_fault(self, fault: dict[str, Any]) -> None:
        """Set faults.

        ``down`` closes connections without an answer, and ``delay_ms`` delays every call.
        ``lose_answers`` is the number of answers to lose from writes of keys that start with
        ``lose_answers_prefix``. ``hold_before`` and ``hold_after`` block writes of keys that start
        with ``hold_prefix`` before or after the write takes effect. ``lapse`` expires the lease
        with this id. ``reset_counts`` sets the call counts to 0.
        """
        self._is_down = bool(fault.get("down", self._is_down))
        self._delay_ms = int(fault.get("delay_ms", self._delay_ms))
        self._answers_to_lose = int(fault.get("lose_answers", self._answers_to_lose))
        self._lose_prefix = str(fault.get("lose_answers_prefix", self._lose_prefix))
        self._hold_prefix = str(fault.get("hold_prefix", self._hold_prefix))
        if "hold_before" in fault:
            self._before_write.set_held(bool(fault["hold_before"]))
        if "hold_after" in fault:
            self._after_write.set_held(bool(fault["hold_after"]))
        if "lapse" in fault:
            self.store.expire_lease(str(fault["lapse"]))
        if fault.get("reset_counts"):
            self._counts.clear()

    def state(self) -> dict[str, Any]:
        """Return the call counts by kind, the keys' revisions and the numbers of blocked writes."""
        keys = {key: entry.revision for key, entry in self.store.list_keys("").items()}
        return {
            "counts": dict(self._counts),
            "keys": keys,
            "held_before": self._before_write.waiting,
            "held_after": self._after_write.waiting,
        }

    def _begin_call(self, kind: str) -> None:
        self._counts[kind] += 1
        if self._delay_ms:
            time.sleep(self._delay_ms / 1000)
        if self._is_down:
            raise ConnectionError("the service is down")

    def _answer_write(self, exchange: Exchange, key: str, revision: int | None) -> Response | None:
        if revision is None:
            return json_response({"error": "the revision differs from the expected one"}, 409)
        if self._answers_to_lose > 0 and key.startswith(self._lose_prefix):
            self._answers_to_lose -= 1
            exchange.take_connection().close()
            return None
        return json_response({"revision": revision})

    def _get(self, exchange: Exchange, key: str) -> Response:
        self._begin_call("read")
        return _entry_response(self.store.get(key))

    def _put(self, exchange: Exchange, key: str) -> Response | None:
        self._begin_call("write")
        value = exchange.read_body()
        if len(value) > MAX_VALUE_BYTES:
            return json_response({"error": "the value exceeds the size limit"}, 413)
        expected = exchange.request.args.get("expected_revision", type=int)
        lease = exchange.request.args.get("lease", "")
        is_held = key.startswith(self._hold_prefix)
        if is_held:
            self._before_write.pass_through()
        revision = self.store.compare_and_swap(key, expected, value, lease)
        if is_held:
            self._after_write.pass_through()
        return self._answer_write(exchange, key, revision)

    def _delete(self, exchange: Exchange, key: str) -> Response | None:
        self._begin_call("write")
        expected = exchange.request.args.get("expected_revision", type=int)
        return self._answer_write(
            exchange, key, self.store.compare_and_swap(key, expected, None, "")
        )

    def _list(self, exchange: Exchange) -> Response:
        self._begin_call("read")
        entries = self.store.list_keys(exchange.request.args.get("prefix", ""))
        rows = [
            {"key": key, "revision": row.revision, "value": base64.b64encode(row.value).decode()}
            for key, row in sorted(entries.items())
        ]
        return json_response({"entries": rows})

    def _watch(self, exchange: Exchange, key: str) -> Response:
        self._begin_call("watch")
        after = exchange.request.args.get("after", 0, type=int)
        wait_ms = min(exchange.request.args.get("wait_ms", 1_000, type=int), MAX_WATCH_MS)
        entry = self.store.watch(key, after, wait_ms / 1000)
        if self._is_down:
            raise ConnectionError("the service is down")
        return Response(status=204) if entry is None else _entry_response(entry)

    def _grant(self, exchange: Exchange) -> Response:
        self._begin_call("write")
        lease = self.store.grant(exchange.request.args.get("ttl_ms", 10_000, type=int))
        return json_response({"lease": lease})

    def _keep_alive(self, exchange: Exchange, lease: str) -> Response:
        self._begin_call("write")
        is_alive = self.store.keep_alive(lease)
        return json_response({"alive": is_alive}, 200 if is_alive else 404)


def _entry_response(entry: _Entry | None) -> Response:
    if entry is None:
        return json_response({"error": "no such key"}, 404)
    return Response(
        entry.value,
        content_type="application/octet-stream",
        headers={"X-Revision": str(entry.revision)},
    )


def run(port: int, control_port: int) -> None:
    """Run the stand-in until it is killed."""
    service = KeyValueService()
    server = serve_routes(port, "kv", service.routes())
    control = serve_routes(
        control_port, "control", control_routes(service.set_fault, service.state)
    )
    ports = {"port": server.port, "control_port": control.port}
    run_until_killed("kv", ports)
