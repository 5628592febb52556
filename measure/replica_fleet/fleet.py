"""Play a fleet that follows one store."""

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from measure.fleet_model.virtual_time import run_virtually
from measure.replica_fleet.fleet_plan import FleetPlan
from measure.replica_fleet.model_gateway import ModelGateway
from measure.replica_fleet.store_link import StoreLink
from measure.replica_fleet.store_session import StoreSession
from ragworthollow.conf import global_settings
from ragworthollow.replica import StoreUpdate, derive_poll_intervals
from ragworthollow.utils import get_boottime_ms, override_clocks

_MILLISECONDS = 1000
_ONE_WAY_MS = 1
_DOMAINS = 5
_READERS = 3
_READERS_OF_DOMAIN = 2
_KEYS = 7
_START_MS = 3000


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetOutcome:
    """
    Say what became of a play.

    Attributes
    ----------
    changes : dict of int to float
        When each revision was written, in milliseconds.
    seen : tuple of dict of int to float
        When each gateway saw it.
    calls_per_s : float
        To the store, of all gateways together.
    busiest_asked_per_s : float
        Questions at the gateway that got most.
    largest_answer_bytes : int
        Of all answers to pings.
    went_back : bool
        Whether any gateway ever held an older state.
    """

    changes: dict[int, float]
    seen: tuple[dict[int, float], ...]
    calls_per_s: float
    busiest_asked_per_s: float
    largest_answer_bytes: int
    went_back: bool

    def find_worst_ms(self, gateways: Sequence[int] | None = None) -> float:
        """Return the longest time until one of some gateways saw a change."""
        numbers = range(len(self.seen)) if gateways is None else gateways
        return max(
            (
                self._find_seen_ms(number, revision) - changed_ms
                for number in numbers
                for revision, changed_ms in self.changes.items()
            ),
            default=0,
        )

    def _find_seen_ms(self, number: int, revision: int) -> float:
        """Return when a change, or a later one of all keys, was seen."""
        return min(
            (
                seen_ms
                for later, seen_ms in self.seen[number].items()
                if later >= revision
            ),
            default=float('inf'),
        )


class _Fleet:
    """Hold the gateways of one play."""

    def __init__(self, plan: FleetPlan, seed: int) -> None:
        self._plan = plan
        self._store = StoreSession()
        for number in range(_KEYS):
            self._store.put(f'servers/{number}')
        paces = derive_poll_intervals(
            bound_ms=plan.bound_ms,
            heartbeat_ms=plan.heartbeat_ms,
        )
        self.gateways = [
            ModelGateway(
                number=number,
                link=self._make_link(number),
                paces=paces,
                find_sources=self._make_sources(number),
                ask=self._ask,
                rng=random.Random(f'{seed}-{number}'),
            )
            for number in range(plan.gateways)
        ]
        for gateway in self.gateways:
            gateway.peers = self.gateways
        self.changes: dict[int, float] = {}

    async def play(self) -> FleetOutcome:
        loop = asyncio.get_running_loop()
        with override_clocks(loop.get_ms):
            tasks = [asyncio.ensure_future(one.run()) for one in self.gateways]
            tasks.append(asyncio.ensure_future(self._trouble_store()))
            await asyncio.sleep(_START_MS / _MILLISECONDS)
            calls = self._count_calls()
            asked = [one.asked for one in self.gateways]
            await self._change()
            left_ms = self._plan.end_ms - loop.get_ms()
            await asyncio.sleep(left_ms / _MILLISECONDS)
            played_s = (self._plan.end_ms - _START_MS) / _MILLISECONDS
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        return FleetOutcome(
            changes=self.changes,
            seen=tuple(one.seen_ms for one in self.gateways),
            calls_per_s=(self._count_calls() - calls) / played_s,
            busiest_asked_per_s=max(
                (one.asked - before) / played_s
                for one, before in zip(self.gateways, asked, strict=True)
            ),
            largest_answer_bytes=max(
                one.largest_answer_bytes for one in self.gateways
            ),
            went_back=any(one.went_back for one in self.gateways),
        )

    async def _change(self) -> None:
        loop = asyncio.get_running_loop()
        for number, at_ms in enumerate(self._plan.changes_ms):
            await asyncio.sleep(max(0, at_ms - loop.get_ms()) / _MILLISECONDS)
            key = f'servers/{number % _KEYS}'
            revision = self._store.put(key, self._plan.change_bytes)
            self.changes[revision] = loop.get_ms()

    async def _trouble_store(self) -> None:
        loop = asyncio.get_running_loop()
        for at_ms, move in self._plan.store_moves:
            await asyncio.sleep(max(0, at_ms - loop.get_ms()) / _MILLISECONDS)
            getattr(self._store, move)()

    def _count_calls(self) -> int:
        return sum(one.link.calls for one in self.gateways)

    def _make_link(self, number: int) -> StoreLink:
        return StoreLink(
            store=self._store,
            find_trouble=lambda: self._find_trouble(number),
            wait_awake=lambda: self._wait_awake(number),
            bytes_per_s=self._plan.bytes_per_s,
        )

    def _make_sources(self, number: int):
        def find_sources() -> list[ModelGateway]:
            if self._plan.sources == 'hosts':
                return self.gateways[:_READERS]
            if self._plan.sources == 'domains':
                own = self.gateways[number % _DOMAINS :: _DOMAINS]
                return own[:_READERS_OF_DOMAIN]
            return []

        return find_sources

    def _find_trouble(self, number: int) -> str:
        now_ms = get_boottime_ms()
        for one in self._plan.troubles:
            if number in one.gateways and one.start_ms <= now_ms < one.end_ms:
                return one.kind
        return ''

    async def _wait_awake(self, number: int) -> None:
        while self._find_trouble(number) == 'frozen':
            await asyncio.sleep(_ONE_WAY_MS / _MILLISECONDS)

    async def _ask(
        self,
        asker: ModelGateway,
        asked: ModelGateway,
        *,
        longest_bytes: float,
    ) -> StoreUpdate | None:
        """Ask as a ping does; None where nothing answers in time."""
        timeout_s = global_settings.HOST_PING_TIMEOUT_MS / _MILLISECONDS
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(asker, asked, longest_bytes)
        except TimeoutError:
            return None

    async def _exchange(
        self,
        asker: ModelGateway,
        asked: ModelGateway,
        longest_bytes: float,
    ) -> StoreUpdate | None:
        after = asker.replica.view.get_position()
        await self._travel(asker, asked)
        await self._wait_awake(asked.number)
        asked.asked += 1
        news = asked.replica.make_update(
            after=after,
            now_ms=get_boottime_ms(),
            max_bytes=longest_bytes,
            allow_snapshot=longest_bytes
            > global_settings.MAX_PING_UPDATE_BYTES,
        )
        await self._wait_awake(asked.number)
        await self._travel(asker, asked)
        await self._wait_awake(asker.number)
        if longest_bytes == global_settings.MAX_PING_UPDATE_BYTES:
            asked.note_answer(len(msgspec.json.encode(news)))
        return news

    async def _travel(self, asker: ModelGateway, asked: ModelGateway) -> None:
        await asyncio.sleep(_ONE_WAY_MS / _MILLISECONDS)
        numbers = (asker.number, asked.number)
        while any(self._find_trouble(one) == 'cut' for one in numbers):
            await asyncio.sleep(_ONE_WAY_MS / _MILLISECONDS)


def play(plan: FleetPlan, seed: int = 1) -> FleetOutcome:
    """Play a plan in virtual time."""
    return run_virtually(_Fleet(plan, seed).play())
