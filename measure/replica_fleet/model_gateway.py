"""Model the store polling of a gateway."""

import asyncio
import random
from collections.abc import Callable, Mapping, Sequence
from types import SimpleNamespace

from measure.replica_fleet.store_link import StoreLink
from ragworthollow.conf import global_settings
from ragworthollow.metrics import Metrics
from ragworthollow.platform import StoreClient
from ragworthollow.platform.store_position import StorePosition
from ragworthollow.replica import PollIntervals, Replica
from ragworthollow.utils import get_boottime_ms
from ragworthollow_daemon.gateway.received_update import ReceivedUpdate
from ragworthollow_daemon.gateway.store_poller import StorePoller

_MILLISECONDS = 1000


class ModelGateway:
    """
    Poll the store with the production code and record when changes are seen.

    Parameters
    ----------
    number : int
        Number of the gateway in the fleet.
    link : StoreLink
        Link to the store.
    intervals : PollIntervals
        Poll intervals, which bound how stale the state may become.
    find_sources : callable
        Returns the gateways to ping, in the order of their reader ranks.
    query : callable
        Queries another gateway for an update.
    rng : Random
        Source of randomness.
    """

    def __init__(
        self,
        *,
        number: int,
        link: StoreLink,
        intervals: PollIntervals,
        find_sources: Callable[[], Sequence['ModelGateway']],
        query: Callable,
        rng: random.Random,
    ) -> None:
        self.number = number
        self.link = link
        self.seen_ms: dict[int, float] = {}
        self.replica = Replica()
        self.received_queries = 0
        self.largest_answer_bytes = 0
        self._find_sources = find_sources
        self._query = query
        self._rng = rng
        self._unresponsive: set[int] = set()
        self._max_revision = 0
        self.went_back = False
        self.poller = StorePoller(
            context=SimpleNamespace(
                store=StoreClient(session=link, base_url='http://store'),
                metrics=Metrics(),
            ),
            subscribers=(self,),
            replica=self.replica,
            intervals=intervals,
            get_reader_rank=self._get_reader_rank,
            ask_peers=self._query_peers,
            jitter=rng.uniform(0, global_settings.STALENESS_JITTER),
        )

    def apply_entries(self, entries: Mapping, _sent_ms: float) -> None:
        """Record the time at which each revision is first seen."""
        now_ms = asyncio.get_running_loop().time() * _MILLISECONDS
        newest = max(
            (entry.mod_revision for entry in entries.values()),
            default=0,
        )
        self.went_back |= newest < self._max_revision
        self._max_revision = max(self._max_revision, newest)
        for entry in entries.values():
            self.seen_ms.setdefault(entry.mod_revision, now_ms)

    def record_response_size(self, size_bytes: int) -> None:
        """Record the size of a ping response."""
        self.largest_answer_bytes = max(self.largest_answer_bytes, size_bytes)

    def handle_store_unavailable(self, _detail: str) -> None:
        """Ignore the outage."""

    async def run(self) -> None:
        """Poll the store and ping the sources until cancelled."""
        await asyncio.gather(self.poller.run(), self._ping_sources())

    async def _ping_sources(self) -> None:
        interval_s = global_settings.HOST_PING_MS / _MILLISECONDS
        await asyncio.sleep(self._rng.uniform(0, interval_s))
        while True:
            await asyncio.sleep(interval_s)
            others = [
                source for source in self._find_sources() if source is not self
            ]
            await asyncio.gather(*map(self._ping, others))

    async def _ping(self, other: 'ModelGateway') -> None:
        sent_ms = get_boottime_ms()
        update = await self._query(
            self,
            other,
            max_bytes=global_settings.MAX_PING_UPDATE_BYTES,
        )
        if update is None:
            self._unresponsive.add(other.number)
            return
        self._unresponsive.discard(other.number)
        self.poller.apply_update(update, sent_ms)

    async def _query_peers(self, _after: StorePosition) -> list[ReceivedUpdate]:
        others = [one for one in self.peers if one is not self]
        count = min(len(others), global_settings.UPDATE_PEERS_QUERIED)
        sent_ms = get_boottime_ms()
        updates = await asyncio.gather(
            *(
                self._query(self, one, max_bytes=float('inf'))
                for one in self._rng.sample(others, count)
            ),
        )
        return [
            ReceivedUpdate(update=one, sent_ms=sent_ms)
            for one in updates
            if one is not None
        ]

    def _get_reader_rank(self) -> int | None:
        sources = [
            source
            for source in self._find_sources()
            if source is self or source.number not in self._unresponsive
        ]
        return sources.index(self) if self in sources else None

    @property
    def peers(self) -> Sequence['ModelGateway']:
        """Return all gateways of the fleet, as set by the fleet."""
        return self._peers

    @peers.setter
    def peers(self, peers: Sequence['ModelGateway']) -> None:
        self._peers = peers
