"""Keeps the origins of streams at several gateways, and asks those gateways for them.

While a service has several software versions, the gateway that begins a stream sends its origin to
the keepers of its region, a few gateways on which all agree by a hash, and to one of another
region. The gateway at which a caller takes the stream up asks the keepers of all regions.
"""

from __future__ import annotations

import itertools
import random
import threading
import time
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseferry_core.bounded_map import BoundedMap
from primroseferry_core.hashing import rendezvous_order
from primroseferry_core.ids import RegionId

from ..endpoints.software_version import agreed_version
from ..streams.stream_origins import StreamOrigin
from .codec import encode
from .datagrams import OriginQuery
from .datagrams import OriginReply
from .datagrams import OriginReport

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from ..streams.stream_origins import StreamKey
    from ..streams.stream_origins import StreamOrigins
    from .peer import Peer
    from .peer_table import PeerTable

LOCAL_COPIES = 2
REMOTE_COPIES = 1
# More gateways are asked than keep a copy: gateways may have joined or left since.
LOCAL_ASKED = 3
REMOTE_ASKED = 2
# A stream is reported at once unless the previous report was sent within this time.
MIN_REPORT_INTERVAL_S = 0.05
# Reports are sent twice because datagrams can be lost.
REPORT_TIMES = 2
# Fits into a datagram that no link fragments.
ORIGINS_PER_DATAGRAM = 60
_KEEPER_KEY = "stream-origins"
# Covers a round trip to another region, and a second one if a datagram is lost.
ANSWER_TIMEOUT_S = 0.35
ASK_AGAIN_S = 0.15
MAX_PENDING_QUERIES = 10_000


@dataclass(frozen=True, slots=True)
class OriginAnswer:
    """What other gateways answered to a question about a stream.

    ``is_representative`` if at least half of the gateways asked in each region answered.
    """

    origin: StreamOrigin | None
    is_representative: bool


class _Query:
    """A question to several gateways; done with the first origin, or when all know none.

    ``asked`` holds the regions of the gateways by their addresses.
    """

    def __init__(self, key: StreamKey, asked: Mapping[str, RegionId]) -> None:
        self.key = key
        self.asked = asked
        self.waiting_for = set(asked)
        self.origin: StreamOrigin | None = None
        self.done = threading.Event()

    @property
    def is_representative(self) -> bool:
        asked = Counter(self.asked.values())
        waiting = Counter(self.asked[address] for address in list(self.waiting_for))
        return bool(asked) and all(2 * waiting[region] <= asked[region] for region in asked)


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
        self._complete: list[StreamKey] = []
        self._reported_s = float("-inf")
        # Called after an origin became known that the first keeper records.
        self.on_origins: Callable[[], None] = lambda: None
        # Replies to an earlier run of this process must not match.
        self._numbers = itertools.count((rng or random.Random()).getrandbits(31))
        self._queries: BoundedMap[int, _Query] = BoundedMap(MAX_PENDING_QUERIES)
        self._lock = threading.Lock()

    def connect(self, own_address: Callable[[], str], send: Callable[[str, bytes], None]) -> None:
        """Set the function that sends datagrams, and the address that gets the replies."""
        self._own_address, self._send = own_address, send

    def share(self, origin: StreamOrigin) -> None:
        """Send an origin to the keepers, at once or with the next ``tick``."""
        with self._lock:
            self._unsent.append((origin, REPORT_TIMES))
            is_due = time.monotonic() - self._reported_s >= MIN_REPORT_INTERVAL_S
        if is_due:
            self.tick()
        self.on_origins()

    def share_complete(self, key: StreamKey) -> None:
        """Tell the keepers, with the next ``tick``, that nobody will take a stream up."""
        with self._lock:
            self._complete.append(key)

    def share_own(self) -> None:
        """Share the origins of all own streams, since another version may begin streams soon."""
        own = self._origins.own()
        with self._lock:
            self._unsent += [(origin, REPORT_TIMES) for origin in own]

    def tick(self) -> None:
        """Send the reports that are due."""
        with self._lock:
            self._reported_s = time.monotonic()
            due, self._unsent = self._unsent, []
            self._unsent = [(origin, times - 1) for origin, times in due if times > 1]
            complete, self._complete = self._complete, []
        if not due and not complete:
            return
        origins = [origin for origin, _ in due]
        reports = [
            encode(
                OriginReport(
                    tuple(origins[start : start + ORIGINS_PER_DATAGRAM]),
                    tuple(complete[start : start + ORIGINS_PER_DATAGRAM]),
                )
            )
            for start in range(0, max(len(origins), len(complete)), ORIGINS_PER_DATAGRAM)
        ]
        for peer in self._keepers_of_own():
            for report in reports:
                self._send(peer.address.report, report)

    @property
    def is_first_keeper(self) -> bool:
        """Whether this gateway is the first of its region's keepers."""
        own = str(self._peers.own_instance)
        names = [str(peer.instance) for peer in self._peers.live_in(self._peers.own_region)]
        return rendezvous_order(_KEEPER_KEY, [own, *names])[0] == own

    def find(self, key: StreamKey) -> OriginAnswer:
        """Ask the gateways that keep a stream's origin; blocks for ``ANSWER_TIMEOUT_S`` at most."""
        number, query = self.ask(key)
        started_s = time.monotonic()
        if not query.done.wait(ASK_AGAIN_S):
            self.ask_again(number, query)
            query.done.wait(ANSWER_TIMEOUT_S - (time.monotonic() - started_s))
        with self._lock:
            self._queries.pop(number, None)
            return OriginAnswer(query.origin, query.is_representative)

    def ask(self, key: StreamKey) -> tuple[int, _Query]:
        """Send the question without waiting for the answers."""
        asked = {peer.address.report: peer.region for peer in self._asked()}
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
        for key in report.complete:
            self._origins.complete(key)
        self.on_origins()

    def on_query(self, query: OriginQuery) -> None:
        """Tell a gateway the origin of a stream, or that it is not known here.

        A gateway that may be cut off says nothing of a stream that it does not know: one that asks
        just after its start does not know that regions are lost.
        """
        origin = self._origins.find(query.key)
        if origin is None and self._peers.is_cut_off:
            return
        reply = OriginReply(self._own_address(), query.number, origin)
        self._send(query.reply_to, encode(reply))

    def on_reply(self, reply: OriginReply) -> None:
        """Pass an answer on to the request that waits for it."""
        with self._lock:
            query = self._queries.get(reply.number)
            if query is None:
                return
            query.waiting_for.discard(reply.sender)
            if reply.origin is not None and reply.origin.key == query.key:
                known = query.origin.version if query.origin is not None else None
                version = agreed_version(known, reply.origin.version)
                query.origin = StreamOrigin(query.key, version)
                query.done.set()
            elif not query.waiting_for:
                query.done.set()

    def _keepers_of_own(self) -> list[Peer]:
        """Return the gateways that keep the origins of this gateway's streams."""
        keepers = self._keepers(self._peers.own_region)[:LOCAL_COPIES]
        regions = rendezvous_order(str(self._peers.own_region), map(str, self._peers.regions()))
        for region in regions[:1]:
            keepers += self._keepers(RegionId(region))[:REMOTE_COPIES]
        return keepers

    def _asked(self) -> list[Peer]:
        asked = self._keepers(self._peers.own_region)[:LOCAL_ASKED]
        for region in self._peers.regions():
            asked += self._keepers(region)[:REMOTE_ASKED]
        return asked

    def _keepers(self, region: RegionId) -> list[Peer]:
        """Return the other live gateways of a region in the order in which they are keepers."""
        peers = {str(peer.instance): peer for peer in self._peers.live_in(region)}
        return [peers[name] for name in rendezvous_order(_KEEPER_KEY, peers)]
