"""Model a gateway as far as it follows the store."""

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
    Follow the store with the code that serves, and note what is seen when.

    Parameters
    ----------
    number : int
        Which one it is.
    link : StoreLink
        Its way to the store.
    paces : PollIntervals
        How old evidence may grow.
    find_sources : callable
        Tells whom it asks, in the order in which these read.
    ask : callable
        Asks another gateway.
    rng : Random
        For what is left to chance.
    """

    def __init__(
        self,
        *,
        number: int,
        link: StoreLink,
        paces: PollIntervals,
        find_sources: Callable[[], Sequence['ModelGateway']],
        ask: Callable,
        rng: random.Random,
    ) -> None:
        self.number = number
        self.link = link
        self.seen_ms: dict[int, float] = {}
        self.replica = Replica()
        self.asked = 0
        self.largest_answer_bytes = 0
        self._find_sources = find_sources
        self._ask = ask
        self._rng = rng
        self._silent: set[int] = set()
        self._highest = 0
        self.went_back = False
        self.follower = StorePoller(
            context=SimpleNamespace(
                store=StoreClient(session=link, base_url='http://store'),
                metrics=Metrics(),
            ),
            subscribers=(self,),
            replica=self.replica,
            intervals=paces,
            get_reader_rank=self._get_place,
            ask_peers=self._ask_peers,
            jitter=rng.uniform(0, global_settings.STALENESS_JITTER),
        )

    def apply_entries(self, found: Mapping, _proved_ms: float) -> None:
        """Note what is seen for the first time."""
        now_ms = asyncio.get_running_loop().time() * _MILLISECONDS
        newest = max((one.mod_revision for one in found.values()), default=0)
        self.went_back |= newest < self._highest
        self._highest = max(self._highest, newest)
        for one in found.values():
            self.seen_ms.setdefault(one.mod_revision, now_ms)

    def note_answer(self, size_bytes: int) -> None:
        """Note the size of an answer to a ping."""
        self.largest_answer_bytes = max(self.largest_answer_bytes, size_bytes)

    def handle_store_unavailable(self, _detail: str) -> None:
        """Go on."""

    async def run(self) -> None:
        """Follow the store and ask others until cancelled."""
        await asyncio.gather(self.follower.run(), self._ask_forever())

    async def _ask_forever(self) -> None:
        pause_s = global_settings.HOST_PING_MS / _MILLISECONDS
        await asyncio.sleep(self._rng.uniform(0, pause_s))
        while True:
            await asyncio.sleep(pause_s)
            others = [one for one in self._find_sources() if one is not self]
            await asyncio.gather(*map(self._hear, others))

    async def _hear(self, other: 'ModelGateway') -> None:
        asked_ms = get_boottime_ms()
        news = await self._ask(
            self,
            other,
            longest_bytes=global_settings.MAX_PING_UPDATE_BYTES,
        )
        if news is None:
            self._silent.add(other.number)
            return
        self._silent.discard(other.number)
        self.follower.apply_update(news, asked_ms)

    async def _ask_peers(self, _after: StorePosition) -> list[ReceivedUpdate]:
        others = [one for one in self.peers if one is not self]
        count = min(len(others), global_settings.UPDATE_PEERS_QUERIED)
        asked_ms = get_boottime_ms()
        answers = await asyncio.gather(
            *(
                self._ask(self, one, longest_bytes=float('inf'))
                for one in self._rng.sample(others, count)
            ),
        )
        return [
            ReceivedUpdate(update=one, sent_ms=asked_ms)
            for one in answers
            if one is not None
        ]

    def _get_place(self) -> int | None:
        sources = [
            one
            for one in self._find_sources()
            if one is self or one.number not in self._silent
        ]
        return sources.index(self) if self in sources else None

    @property
    def peers(self) -> Sequence['ModelGateway']:
        """Return all gateways, by what the fleet set."""
        return self._peers

    @peers.setter
    def peers(self, peers: Sequence['ModelGateway']) -> None:
        self._peers = peers
