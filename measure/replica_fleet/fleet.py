"""Simulate a fleet of gateways that poll one store."""

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
_ONE_WAY_LATENCY_MS = 1
_FAILURE_DOMAIN_COUNT = 5
_READER_COUNT = 3
_READERS_PER_DOMAIN = 2
_KEY_COUNT = 7
_MEASURE_START_MS = 3000


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetOutcome:
    """
    Hold the results of a simulation.

    Attributes
    ----------
    changes : dict of int to float
        Time at which each revision was written, in milliseconds of virtual
        time, by revision.
    seen : tuple of dict of int to float
        Time at which each gateway first saw each revision, in milliseconds.
    calls_per_s : float
        Calls to the store per second, summed over all gateways.
    max_queries_per_s : float
        Queries per second received by the most queried gateway.
    largest_answer_bytes : int
        Largest update in a ping response, in bytes.
    went_back : bool
        Whether the state of any gateway ever regressed to an older revision.
    """

    changes: dict[int, float]
    seen: tuple[dict[int, float], ...]
    calls_per_s: float
    max_queries_per_s: float
    largest_answer_bytes: int
    went_back: bool

    def find_worst_ms(self, gateways: Sequence[int] | None = None) -> float:
        """Return the longest propagation delay to the given gateways."""
        numbers = range(len(self.seen)) if gateways is None else gateways
        return max(
            (
                self._find_seen_at_ms(number, revision) - changed_ms
                for number in numbers
                for revision, changed_ms in self.changes.items()
            ),
            default=0,
        )

    def _find_seen_at_ms(self, number: int, revision: int) -> float:
        """Return when a gateway first saw this or a later revision."""
        return min(
            (
                seen_ms
                for later, seen_ms in self.seen[number].items()
                if later >= revision
            ),
            default=float('inf'),
        )


class _Fleet:
    """Run the gateways and the store of one simulation."""

    def __init__(self, plan: FleetPlan, seed: int) -> None:
        self._plan = plan
        self._store = StoreSession()
        for number in range(_KEY_COUNT):
            self._store.put(f'servers/{number}')
        intervals = derive_poll_intervals(
            bound_ms=plan.bound_ms,
            heartbeat_ms=plan.heartbeat_ms,
        )
        self.gateways = [
            ModelGateway(
                number=number,
                link=self._make_link(number),
                intervals=intervals,
                find_sources=self._make_sources(number),
                query=self._query,
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
            tasks = [
                asyncio.ensure_future(gateway.run())
                for gateway in self.gateways
            ]
            tasks.append(asyncio.ensure_future(self._inject_store_faults()))
            await asyncio.sleep(_MEASURE_START_MS / _MILLISECONDS)
            calls = self._count_calls()
            queries = [gateway.received_queries for gateway in self.gateways]
            await self._write_changes()
            remaining_ms = self._plan.end_ms - loop.get_ms()
            await asyncio.sleep(remaining_ms / _MILLISECONDS)
            duration_s = (self._plan.end_ms - _MEASURE_START_MS) / _MILLISECONDS
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        return FleetOutcome(
            changes=self.changes,
            seen=tuple(gateway.seen_ms for gateway in self.gateways),
            calls_per_s=(self._count_calls() - calls) / duration_s,
            max_queries_per_s=max(
                (gateway.received_queries - before) / duration_s
                for gateway, before in zip(
                    self.gateways,
                    queries,
                    strict=True,
                )
            ),
            largest_answer_bytes=max(
                gateway.largest_answer_bytes for gateway in self.gateways
            ),
            went_back=any(gateway.went_back for gateway in self.gateways),
        )

    async def _write_changes(self) -> None:
        loop = asyncio.get_running_loop()
        for number, at_ms in enumerate(self._plan.changes_ms):
            await asyncio.sleep(max(0, at_ms - loop.get_ms()) / _MILLISECONDS)
            key = f'servers/{number % _KEY_COUNT}'
            revision = self._store.put(key, self._plan.change_bytes)
            self.changes[revision] = loop.get_ms()

    async def _inject_store_faults(self) -> None:
        loop = asyncio.get_running_loop()
        for at_ms, move in self._plan.store_moves:
            await asyncio.sleep(max(0, at_ms - loop.get_ms()) / _MILLISECONDS)
            getattr(self._store, move)()

    def _count_calls(self) -> int:
        return sum(gateway.link.calls for gateway in self.gateways)

    def _make_link(self, number: int) -> StoreLink:
        return StoreLink(
            store=self._store,
            find_fault=lambda: self._find_fault(number),
            wait_until_thawed=lambda: self._wait_until_thawed(number),
            bytes_per_s=self._plan.bytes_per_s,
        )

    def _make_sources(self, number: int):
        def find_sources() -> list[ModelGateway]:
            if self._plan.sources == 'hosts':
                return self.gateways[:_READER_COUNT]
            if self._plan.sources == 'domains':
                local = self.gateways[
                    number % _FAILURE_DOMAIN_COUNT :: _FAILURE_DOMAIN_COUNT
                ]
                return local[:_READERS_PER_DOMAIN]
            return []

        return find_sources

    def _find_fault(self, number: int) -> str:
        now_ms = get_boottime_ms()
        for fault in self._plan.troubles:
            if (
                number in fault.gateways
                and fault.start_ms <= now_ms < fault.end_ms
            ):
                return fault.kind
        return ''

    async def _wait_until_thawed(self, number: int) -> None:
        while self._find_fault(number) == 'frozen':
            await asyncio.sleep(_ONE_WAY_LATENCY_MS / _MILLISECONDS)

    async def _query(
        self,
        requester: ModelGateway,
        responder: ModelGateway,
        *,
        max_bytes: float,
    ) -> StoreUpdate | None:
        """Query a gateway with the ping timeout; return None on timeout."""
        timeout_s = global_settings.HOST_PING_TIMEOUT_MS / _MILLISECONDS
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange_update(
                    requester, responder, max_bytes
                )
        except TimeoutError:
            return None

    async def _exchange_update(
        self,
        requester: ModelGateway,
        responder: ModelGateway,
        max_bytes: float,
    ) -> StoreUpdate | None:
        after = requester.replica.view.get_position()
        await self._transmit(requester, responder)
        await self._wait_until_thawed(responder.number)
        responder.received_queries += 1
        update = responder.replica.make_update(
            after=after,
            now_ms=get_boottime_ms(),
            max_bytes=max_bytes,
            allow_snapshot=max_bytes > global_settings.MAX_PING_UPDATE_BYTES,
        )
        await self._wait_until_thawed(responder.number)
        await self._transmit(requester, responder)
        await self._wait_until_thawed(requester.number)
        if max_bytes == global_settings.MAX_PING_UPDATE_BYTES:
            responder.record_response_size(len(msgspec.json.encode(update)))
        return update

    async def _transmit(
        self, requester: ModelGateway, responder: ModelGateway
    ) -> None:
        await asyncio.sleep(_ONE_WAY_LATENCY_MS / _MILLISECONDS)
        numbers = (requester.number, responder.number)
        while any(self._find_fault(number) == 'cut' for number in numbers):
            await asyncio.sleep(_ONE_WAY_LATENCY_MS / _MILLISECONDS)


def play(plan: FleetPlan, seed: int = 1) -> FleetOutcome:
    """Simulate a plan in virtual time."""
    return run_virtually(_Fleet(plan, seed).play())
