"""Keep a pool of instances complete while some of them crash."""

import asyncio
import random
import time

from measure.gateway_fleet import GatewayFleet

_POOL = 'plain'
_INSTANCES = 5
_RESTART_S = (1.0, 2.0)
_POLL_S = 0.05


class RestartingPool:
    """
    Add an instance under another name for each one that has ended.

    Parameters
    ----------
    fleet : GatewayFleet
        Where the instances are listed.
    rng : Random
        Makes the pauses repeatable.
    """

    def __init__(self, *, fleet: GatewayFleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng
        self._listed = set(fleet.upstreams)
        self._count = len(self._listed)
        self._replacing: set[asyncio.Task[None]] = set()
        self.crash_times_s: list[float] = []

    async def run(self) -> None:
        """Fill the pool, and replace instances until cancelled."""
        while len(self._listed) < _INSTANCES:
            await self._add()
        while True:
            await asyncio.sleep(_POLL_S)
            for name in tuple(self._listed):
                if self._fleet.upstreams[name].has_crashed:
                    self._listed.discard(name)
                    self.crash_times_s.append(time.monotonic())
                    self._start(self._replace(name))

    def _start(self, coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self._replacing.add(task)
        task.add_done_callback(self._replacing.discard)

    async def _replace(self, name: str) -> None:
        await asyncio.sleep(self._rng.uniform(*_RESTART_S))
        await self._fleet.remove_instance(name)
        await self._add()

    async def _add(self) -> None:
        self._count += 1
        name = f'e{self._count}'
        await self._fleet.add_upstream(name, _POOL)
        self._listed.add(name)
