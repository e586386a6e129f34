"""Keeps the origins of streams at several gateways, and asks those gateways for them.

While a service has several software versions, the gateway that begins a stream sends its origin to
a few others, chosen by a hash of the stream: some of its own region and one of another region. The
gateway at which a caller takes the stream up asks the same gateways, whichever began it.
"""

from __future__ import annotations

import itertools
import random
import threading
import time
from collections import defaultdict
from typing import TYPE_CHECKING

from primroseferry_core.bounded_map import BoundedMap
from primroseferry_core.hashing import rendezvous_order

from ..endpoints.software_version import UNKNOWN_VERSION
from ..streams.stream_origins import StreamOrigin
from .codec import encode
from .datagrams import OriginQuery
from .datagrams import OriginReply
from .datagrams import OriginReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_core.ids import RegionId

    from ..streams.stream_origins import StreamKey
    from ..streams.stream_origins import StreamOrigins
    from .peer import Peer
    from .peer_table import PeerTable

# Gateways of the own region that keep an origin, and of another region.
LOCAL_COPIES = 2
REMOTE_COPIES = 1
# More gateways are asked than keep a copy: since then gateways may have joined or left.
LOCAL_ASKED = 3
REMOTE_ASKED = 2
# Reports are sent twice because datagrams can be lost.
REPORT_TIMES = 2
# Fits into a datagram that no link fragments.
ORIGINS_PER_DATAGRAM = 60
# Streams with the same holders are told together, so holders are chosen for groups of streams.
STREAM_GROUPS = 1_024
# Covers a round trip to another region, and a second one if a datagram is lost.
ANSWER_TIMEOUT_S = 0.35
ASK_AGAIN_S = 0.15
MAX_PENDING_QUERIES = 10_000


class _Query:
    """A question to several gateways; done with the first origin, or when all know none."""

    def __init__(self, key: StreamKey, waiting_for: set[str]) -> None:
        self.key = key
        self.waiting_for = waiting_for
        self.origin: StreamOrigin | None = None
        self.done = threading.Event()


class StreamSync:
    """Shares the origins of one gateway's streams and answers questions of others."""

    def __init__(
        self, origins: StreamOrigins, peers: PeerTable, rng: random.Random | None = None
    ) -> None:
        self._origins = origins
        self._peers = peers
        self._own_address: Callable[[], str] = str
        self._send: Callable[[str, bytes], None] = lambda _address, _data: None
        self._unsent: list[tuple[StreamOrigin, int]] = []
        # Replies to an earlier run of this process must not match.
        self._numbers = itertools.count((rng or random.Random()).getrandbits(31))
        self._queries: BoundedMap[int, _Query] = BoundedMap(MAX_PENDING_QUERIES)
        self._lock = threading.Lock()

    def connect(self, own_address: Callable[[], str], send: Callable[[str, bytes], None]) -> None:
        """Set the function that sends datagrams, and the address that gets the replies."""
        self._own_address, self._send = own_address, send

    def share(self, origin: StreamOrigin) -> None:
        """Send an origin to the gateways that keep it, with the next ``tick``."""
        with self._lock:
            self._unsent.append((origin, REPORT_TIMES))

    def share_own(self) -> None:
        """Share the origins of all own streams, since another version may begin streams soon."""
        own = self._origins.own()
        with self._lock:
            self._unsent += [(origin, REPORT_TIMES) for origin in own]

    def tick(self) -> None:
        """Send the reports that are due."""
        with self._lock:
            due, self._unsent = self._unsent, []
            self._unsent = [(origin, times - 1) for origin, times in due if times > 1]
        by_holder: defaultdict[str, list[StreamOrigin]] = defaultdict(list)
        for origin, _ in due:
            for peer in self._holders(origin.key):
                by_holder[peer.address.report].append(origin)
        for address, origins in by_holder.items():
            for start in range(0, len(origins), ORIGINS_PER_DATAGRAM):
                report = OriginReport(tuple(origins[start : start + ORIGINS_PER_DATAGRAM]))
                self._send(address, encode(report))

    def find(self, key: StreamKey) -> StreamOrigin | None:
        """Ask the gateways that keep a stream's origin; blocks for ``ANSWER_TIMEOUT_S`` at most."""
        number, query = self.ask(key)
        started_s = time.monotonic()
        if not query.done.wait(ASK_AGAIN_S):
            self.ask_again(number, query)
            query.done.wait(ANSWER_TIMEOUT_S - (time.monotonic() - started_s))
        with self._lock:
            self._queries.pop(number, None)
        return query.origin

    def ask(self, key: StreamKey) -> tuple[int, _Query]:
        """Send the question without waiting for the answers."""
        asked = {peer.address.report for peer in self._asked(key)}
        query = _Query(key, asked)
        if not asked:
            query.done.set()
        with self._lock:
            number = next(self._numbers)
            self._queries.put(number, query)
        self.ask_again(number, query)
        return number, query

    def ask_again(self, number: int, query: _Query) -> None:
        """Send the question to the gateways that have not answered."""
        data = encode(OriginQuery(self._own_address(), number, query.key))
        for address in list(query.waiting_for):
            self._send(address, data)

    def on_report(self, report: OriginReport) -> None:
        """Keep the origins of another gateway's streams."""
        for origin in report.origins:
            self._origins.note(origin, is_own=False)

    def on_query(self, query: OriginQuery) -> None:
        """Tell a gateway the origin of a stream, or that it is not known here."""
        reply = OriginReply(self._own_address(), query.number, self._origins.find(query.key))
        self._send(query.reply_to, encode(reply))

    def on_reply(self, reply: OriginReply) -> None:
        """Pass an answer on to the request that waits for it."""
        with self._lock:
            query = self._queries.get(reply.number)
            if query is None:
                return
            query.waiting_for.discard(reply.sender)
            if reply.origin is not None and reply.origin.key == query.key:
                known = query.origin
                if known is not None and known.version != reply.origin.version:
                    query.origin = StreamOrigin(query.key, UNKNOWN_VERSION)
                else:
                    query.origin = reply.origin
                query.done.set()
            elif not query.waiting_for:
                query.done.set()

    def _holders(self, key: StreamKey) -> list[Peer]:
        local = self._ordered(self._peers.own_region, key)[:LOCAL_COPIES]
        regions = rendezvous_order(_group(key), map(str, self._peers.regions()))
        remote = [
            peer
            for region in self._peers.regions()
            if str(region) == (regions[0] if regions else "")
            for peer in self._ordered(region, key)[:REMOTE_COPIES]
        ]
        return [*local, *remote]

    def _asked(self, key: StreamKey) -> list[Peer]:
        asked = self._ordered(self._peers.own_region, key)[:LOCAL_ASKED]
        for region in self._peers.regions():
            asked += self._ordered(region, key)[:REMOTE_ASKED]
        return asked

    def _ordered(self, region: RegionId, key: StreamKey) -> list[Peer]:
        """Return the other live gateways of a region in the order in which they keep a stream."""
        peers = {str(peer.instance): peer for peer in self._peers.live_in(region)}
        return [peers[name] for name in rendezvous_order(_group(key), peers)]


def _group(key: StreamKey) -> str:
    return f"stream {key % STREAM_GROUPS}"
