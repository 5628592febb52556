"""Break a running fleet at random and mend it again."""

import asyncio
import random
import signal
import time
from collections import Counter

from measure.fleet import Fleet
from measure.fleet_plan import PlannedInstance

_UPSTREAM_FAULTS = ('lose_answer', 'cross', 'truncate', 'fail', 'slow_ms')
_PLATFORM_FAULTS = ('down', 'slow_ms', 'lose_answer')


class Breakage:
    """
    Bring failures about, each mended by itself after a while.

    Parameters
    ----------
    fleet : Fleet
        What to break.
    seed : int
        Makes the choices repeatable.
    """

    def __init__(self, *, fleet: Fleet, seed: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(f'breakage/{seed}')
        self.counts: Counter[str] = Counter()
        # When and which processes could not answer for another reason than
        # a planned stop.
        self.broken: list[tuple[str, float, float]] = []
        self._busy: set[str] = set()
        self._mending: set[asyncio.Task] = set()
        self._menu = (
            self._kill,
            self._kill,
            self._freeze,
            self._freeze,
            self._stop,
            self._stop,
            self._spoil_upstream,
            self._spoil_upstream,
            self._spoil_upstream,
            self._spoil_platform,
            self._lose_domain,
            self._relist,
        )

    async def run(self, seconds: float, pause_s: float = 1.5) -> None:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            fault = self._rng.choice(self._menu)
            task = asyncio.ensure_future(fault())
            self._mending.add(task)
            task.add_done_callback(self._mending.discard)
            await asyncio.sleep(self._rng.uniform(0.3, 2 * pause_s))
        await asyncio.gather(*self._mending)

    def was_broken(self, address: str, started: float, ended: float) -> bool:
        return any(
            address == broken and begin <= ended and finish >= started
            for broken, begin, finish in self.broken
        )

    def _choose(self) -> PlannedInstance | None:
        idle = [
            one
            for one in self._fleet.plan.instances
            if one.name not in self._busy
        ]
        entries_busy = any(
            one.name in self._busy for one in self._fleet.entries
        )
        if entries_busy:
            idle = [one for one in idle if one.kind != 'entry']
        if not idle:
            return None
        one = self._rng.choice(idle)
        self._busy.add(one.name)
        return one

    async def _kill(self) -> None:
        one = self._choose()
        if one is None:
            return
        self.counts['kill'] += 1
        started = time.monotonic()
        self._fleet.processes.send(one.name, signal.SIGKILL)
        await asyncio.sleep(self._rng.uniform(0.1, 12))
        self._fleet.start_daemon(one.name)
        await self._settle(one, started)

    async def _freeze(self) -> None:
        one = self._choose()
        if one is None:
            return
        self.counts['freeze'] += 1
        started = time.monotonic()
        self._fleet.processes.send(one.name, signal.SIGSTOP)
        await asyncio.sleep(self._rng.choice((0.5, 2, 6, 14)))
        self._fleet.processes.send(one.name, signal.SIGCONT)
        await self._settle(one, started)

    async def _stop(self) -> None:
        one = self._choose()
        if one is None:
            return
        self.counts['planned_stop'] += 1
        code = await self._fleet.restart(one.name)
        if code:
            self.counts['stop_failed'] += 1
        await self._settle(one, None)

    async def _spoil_upstream(self) -> None:
        one = self._rng.choice(self._fleet.sidecars)
        fault = self._rng.choice(_UPSTREAM_FAULTS)
        self.counts[f'upstream_{fault}'] += 1
        amount = 300 if fault == 'slow_ms' else 1
        await self._fleet.set_faults(
            one.upstream_port,
            **{fault: amount, 'left': self._rng.randint(1, 10)},
        )
        await asyncio.sleep(self._rng.uniform(0.5, 4))
        await self._fleet.set_faults(one.upstream_port)

    async def _spoil_platform(self) -> None:
        if 'platform' in self._busy:
            return
        self._busy.add('platform')
        fault = self._rng.choice(_PLATFORM_FAULTS)
        self.counts[f'platform_{fault}'] += 1
        port = self._fleet.plan.kv_port
        amount = 800 if fault == 'slow_ms' else 1
        await self._fleet.set_faults(port, **{fault: amount})
        await asyncio.sleep(self._rng.choice((1, 4, 20)))
        await self._fleet.set_faults(port)
        self._busy.discard('platform')

    async def _lose_domain(self) -> None:
        domain = self._rng.choice(self._fleet.plan.file.failure_domains)
        members = [
            one for one in self._fleet.sidecars if one.failure_domain == domain
        ]
        if any(one.name in self._busy for one in members):
            return
        self.counts['domain_lost'] += 1
        started = time.monotonic()
        for one in members:
            self._busy.add(one.name)
            self._fleet.processes.send(one.name, signal.SIGKILL)
        await asyncio.sleep(self._rng.uniform(2, 12))
        for one in members:
            self._fleet.start_daemon(one.name)
        for one in members:
            await self._settle(one, started)

    async def _relist(self) -> None:
        """List an instance as leaving, then as gone, then as live again."""
        one = self._rng.choice(self._fleet.sidecars)
        self.counts['relisted'] += 1
        for state in ('leaving', 'gone', 'live'):
            await self._fleet.set_listed(one.name, state=state)
            await asyncio.sleep(self._rng.uniform(0.5, 2))

    async def _settle(
        self,
        one: PlannedInstance,
        started: float | None,
    ) -> None:
        """Wait until a process answers again."""
        while await self._fleet.get_status(one.name) is None:
            await asyncio.sleep(0.2)
        if started is not None:
            self.broken.append((one.address, started, time.monotonic()))
        self._busy.discard(one.name)
