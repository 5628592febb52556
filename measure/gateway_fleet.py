"""Run gateways as processes, and stop, kill and freeze them at random."""

import asyncio
import math
import random
import signal
import sys
import tempfile
import time
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import aiohttp
import yaml

from measure.processes import Processes
from tests.fixtures.gateways import HOST, GatewayHarness, make_configuration
from tests.standins.upstream import UpstreamStandin

_POLL_S = 0.02
_MIN_UPSTREAMS = 3
_GATEWAYS_PER_UPSTREAM = 3
_LOAD_HEADER = 'X-Ragworthollow-Server-Load'
# Work times of the instances, in percent: an uneven pool of engines.
_WORK_TIMES = (70, 70, 170)
_READY = 200
_END_LIMIT_S = 10
# Longer than gateways take to start on a busy machine.
_RESUMABLE_TIMEOUT_MS = 10_000
_STORE_FAULTS = ('slow_ms', 'slow_ms', 'down', 'mute')

Series = Callable[[random.Random], Awaitable[None]]


@dataclass(frozen=True, kw_only=True)
class Disturbance:
    """Remember what a gateway process got, and when, other than a stop."""

    gateway: str
    kind: str
    began_s: float
    ended_s: float


class GatewayFleet(GatewayHarness):
    """
    Run gateway processes; the stand-ins run in the test process.

    Parameters
    ----------
    size : int
        Number of gateways.
    """

    def __init__(self, *, size: int) -> None:
        super().__init__()
        self.folder = Path(tempfile.mkdtemp(prefix='ragworthollow-gateways-'))
        self.processes = Processes(folder=self.folder)
        self.front_ports = {
            f'g{number}': self.ports.take() for number in range(1, size + 1)
        }
        self.disturbances: list[Disturbance] = []
        # Times of the starts of processes and of SIGTERM, by gateway.
        self.starts: dict[str, list[float]] = defaultdict(list)
        self.stops: dict[str, list[float]] = defaultdict(list)
        self.exit_codes: Counter[int | None] = Counter()
        self.total_losses_s: list[float] = []
        # Since when engines were ready, left, and did not serve any more.
        self._ready_s: dict[str, float] = {}
        self._left_s: dict[str, float] = {}
        self.crashes_s: dict[str, float] = {}
        self._ready_urls: dict[str, str] = {}
        self._stopping: set[str] = set()
        # Gateways that are stopping, have ended or are not yet ready.
        self._busy: set[str] = set()

    async def start_all(self) -> None:
        await self.open()
        size = len(self.front_ports)
        count = max(_MIN_UPSTREAMS, size // _GATEWAYS_PER_UPSTREAM)
        for number in range(1, count + 1):
            name = f'v1-u{number}'
            await self.add_upstream(name, 'plain')
            work_time = _WORK_TIMES[(number - 1) % len(_WORK_TIMES)]
            self.upstreams[name].response_headers = {
                _LOAD_HEADER: f'1,0,4,{work_time}'
            }
        self.configuration = self.make_configuration(
            self.configuration['version']
        )
        plain, *others = self.configuration['services']
        await self.configure(services=[{**plain, 'engine': {}}, *others])
        for name, port in self.front_ports.items():
            self._write_settings(name, port)
        await asyncio.gather(*map(self.start, self.front_ports))

    async def add_upstream(self, name: str, pool: str, **options) -> None:
        version = options.pop('version', 'v1')
        self.failure_domains[name] = 'one'
        upstream = self.make_upstream(name, **options)
        await upstream.start(self.ports.take())
        self.upstreams[name] = upstream
        await self.publish_instance(name, pool, version=version)

    async def publish_instance(
        self, name: str, pool: str, state: str = 'ready', **options
    ) -> None:
        times_s = self._ready_s if state == 'ready' else self._left_s
        times_s.setdefault(name, time.monotonic())
        await super().publish_instance(name, pool, state, **options)

    async def remove_instance(self, name: str) -> None:
        self._left_s.setdefault(name, time.monotonic())
        await super().remove_instance(name)

    def crash_engine(self, engine: UpstreamStandin) -> None:
        self.crashes_s[engine.name] = time.monotonic()
        engine.crash()

    def count_engines(self, version: str, moment_s: float) -> int:
        """Return how many engines of a version were ready at a moment."""
        return sum(
            name.startswith(f'{version}-')
            and ready_s <= moment_s < self._left_s.get(name, math.inf)
            for name, ready_s in self._ready_s.items()
        )

    def make_configuration(self, version: int) -> dict:
        made = make_configuration(version)
        for route in made['routes']:
            if route['can_resume']:
                route['timeout_ms'] = _RESUMABLE_TIMEOUT_MS
        return made

    def count_engine_faults(self) -> Counter[str]:
        """Return how often engines rejected requests and had faults."""
        return Counter()

    async def start(self, name: str) -> None:
        """Start a gateway, and wait until it reports itself ready."""
        self._busy.add(name)
        while not await self._is_ready(name):
            if not self.processes.is_running(name):
                self._stopping.discard(name)
                self.starts[name].append(time.monotonic())
                self.processes.start_daemon(name, self._get_path(name))
            await asyncio.sleep(_POLL_S)
        self._busy.discard(name)

    def get_ready(self) -> list[str]:
        return [name for name in self.front_ports if name not in self._busy]

    def get_running(self) -> list[str]:
        return list(filter(self.processes.is_running, self.front_ports))

    async def stop(self, name: str) -> None:
        """Send SIGTERM to a gateway, and wait until its process has ended."""
        self._busy.add(name)
        self._stopping.add(name)
        self.stops[name].append(time.monotonic())
        self.processes.send(name, signal.SIGTERM)
        await self.wait_for_end(name)
        self.exit_codes[self.processes.wait(name, 0)] += 1

    async def stop_all(self) -> None:
        """Stop all gateways; one that is stopping gets no second signal."""
        running = self.get_running()
        await asyncio.gather(
            *(
                self.stop(name)
                for name in running
                if name not in self._stopping
            ),
            *map(self.wait_for_end, running),
        )

    async def wait_for_end(self, name: str) -> None:
        while self.processes.is_running(name):
            await asyncio.sleep(_POLL_S)

    def kill(self, name: str) -> None:
        self._busy.add(name)
        began_s = time.monotonic()
        self.processes.send(name, signal.SIGKILL)
        # Without giving way: who waits for the end would start it again.
        self.processes.wait(name, _END_LIMIT_S)
        self._note(name, 'kill', began_s)

    def kill_all(self) -> list[str]:
        """Kill all gateways at once; return those to start again."""
        lost = self.get_ready()
        running = self.get_running()
        for name in running:
            self.processes.send(name, signal.SIGKILL)
        for name in running:
            self.kill(name)
        self.total_losses_s.append(time.monotonic())
        return lost

    async def freeze(self, name: str, seconds: float) -> None:
        began_s = time.monotonic()
        self.processes.send(name, signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            self.processes.send(name, signal.SIGCONT)
            self._note(name, 'freeze', began_s)

    async def close(self) -> None:
        await asyncio.to_thread(self.processes.end_all, _END_LIMIT_S)
        await super().close()

    def _note(self, name: str, kind: str, began_s: float) -> None:
        self.disturbances.append(
            Disturbance(
                gateway=name,
                kind=kind,
                began_s=began_s,
                ended_s=time.monotonic(),
            )
        )

    def _get_path(self, name: str) -> Path:
        return self.folder / f'{name}.yaml'

    def _write_settings(self, name: str, front_port: int) -> None:
        ready_address = f'{HOST}:{self.ports.take()}'
        self._ready_urls[name] = f'http://{ready_address}/api/ready'
        settings = {
            'role': 'gateway',
            'instance': name,
            'failure_domain': 'one',
            'front_address': f'{HOST}:{front_port}',
            'ready_address': ready_address,
            'peer_address': f'{HOST}:{self.ports.take()}',
            'store_url': f'http://{HOST}:{self.store_port}',
            'scarce_result_space': True,
        }
        self._get_path(name).write_text(yaml.safe_dump(settings))

    async def _is_ready(self, name: str) -> bool:
        try:
            async with self.session.get(self._ready_urls[name]) as response:
                return response.status == _READY
        except aiohttp.ClientError:
            return False


class GatewayBreakage:
    """
    Disturb gateways, their store and configuration in overlapping series.

    Parameters
    ----------
    fleet : GatewayFleet
        What to disturb.
    rng : Random
        Makes the choices repeatable.
    more_series : tuple of Series
        Further series, which end before the gateways are stopped.
    """

    def __init__(
        self,
        *,
        fleet: GatewayFleet,
        rng: random.Random,
        more_series: tuple[Series, ...] = (),
    ) -> None:
        self._fleet = fleet
        self._rng = rng
        self._more_series = more_series
        self.counts: Counter[str] = Counter()

    async def run(self, seconds: float) -> None:
        """Disturb for some time, then stop all gateways at the same time."""
        around = self._start(self._disturb_store, self._change_configuration)
        at_processes = self._start(
            self._stop,
            self._stop,
            self._kill,
            self._freeze,
            self._reload,
            *self._more_series,
        )
        await _end(at_processes, seconds)
        await self._fleet.stop_all()
        await _end(around, 0)

    def _start(self, *series: Series) -> list[asyncio.Task[None]]:
        return [
            asyncio.ensure_future(
                _repeat(one, random.Random(self._rng.random()))
            )
            for one in series
        ]

    async def _stop(self, rng: random.Random) -> None:
        await asyncio.sleep(rng.uniform(0, 1.5))
        ready = self._fleet.get_ready()
        count = min(len(ready), rng.choice((1, 1, 2, 3)))
        await asyncio.gather(
            *map(self._restart, rng.sample(ready, count)),
        )

    async def _restart(self, name: str) -> None:
        await self._fleet.stop(name)
        await self._fleet.start(name)

    async def _kill(self, rng: random.Random) -> None:
        await asyncio.sleep(rng.uniform(2, 8))
        running = self._fleet.get_running()
        if not running:
            return
        name = rng.choice(running)
        is_ready = name in self._fleet.get_ready()
        self.counts['kill'] += 1
        self._fleet.kill(name)
        # Who stops or starts a gateway also starts it again.
        if is_ready:
            await self._fleet.start(name)

    async def _freeze(self, rng: random.Random) -> None:
        await asyncio.sleep(rng.uniform(0.5, 4))
        running = self._fleet.get_running()
        if running:
            self.counts['freeze'] += 1
            await self._fleet.freeze(rng.choice(running), rng.uniform(0, 1))

    async def _reload(self, rng: random.Random) -> None:
        """Make a gateway read its settings again, as SIGHUP asks."""
        await asyncio.sleep(rng.uniform(0.2, 2))
        ready = self._fleet.get_ready()
        if ready:
            self.counts['reload'] += 1
            self._fleet.processes.send(rng.choice(ready), signal.SIGHUP)

    async def _disturb_store(self, rng: random.Random) -> None:
        await asyncio.sleep(rng.uniform(0, 2))
        fault = rng.choice(_STORE_FAULTS)
        self.counts[f'store_{fault}'] += 1
        amount = rng.uniform(20, 400) if fault == 'slow_ms' else 1
        faults = self._fleet.store.faults
        faults.active = {fault: amount}
        try:
            await asyncio.sleep(rng.uniform(0.3, 3))
        finally:
            faults.active = {}

    async def _change_configuration(self, rng: random.Random) -> None:
        await asyncio.sleep(rng.uniform(0.5, 3))
        self.counts['configuration'] += 1
        version = self._fleet.configuration['version'] + 1
        changed = self._fleet.make_configuration(version)
        for route in changed['routes']:
            route['priority'] = rng.choice((1, 2))
        await self._fleet.configure(**changed)


def run_on_fleet(
    fleet: GatewayFleet, play: Callable[[GatewayFleet], Awaitable[dict]]
) -> dict:
    """Run a soak on a fleet of its own, and add the folder of its logs."""
    print(f'logs: {fleet.folder}', file=sys.stderr, flush=True)
    try:
        summary = fleet.run(play(fleet))
    finally:
        fleet.run(fleet.close())
        fleet.loop.close()
    return {**summary, 'logs': str(fleet.folder)}


async def _repeat(series: Series, rng: random.Random) -> None:
    while True:
        await series(rng)


async def _end(tasks: list[asyncio.Task[None]], seconds: float) -> None:
    """End endless tasks after some time; raise the error of one that failed."""
    failed, _ = await asyncio.wait(
        tasks, timeout=seconds, return_when=asyncio.FIRST_EXCEPTION
    )
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for task in failed:
        task.result()
