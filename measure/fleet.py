"""Run a whole deployment as real processes on this machine."""

import asyncio
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import aiohttp
import msgspec
import yaml

from measure.fleet_plan import (
    HOST,
    FleetPlan,
    PlannedInstance,
    get_standin,
    plan_fleet,
)
from measure.ports import Ports
from measure.processes import Processes
from measure.request_progress import make_progress_trace
from ragworthollow.utils import hash_secret

CLUSTER_KEY = 'cluster-key-of-the-demo-0123456789'

_START_LIMIT_S = 60


class Fleet:
    """
    Start, break and end a deployment.

    Stand-ins run in one process for the platform and one for each failure
    domain's upstreams, or one each with `split_upstreams`.

    Parameters
    ----------
    deployment : str
        Folder below `deployments`.
    seed : int
        For the choice of ports.
    settings : dict
        Fields added to every daemon's settings.
    split_upstreams : bool
        Whether each upstream is a process of its own.
    lag_ms : float
        Lag of the instance list.
    """

    def __init__(
        self,
        deployment: str,
        *,
        seed: int = 1,
        settings: dict | None = None,
        split_upstreams: bool = False,
        lag_ms: float = 500,
        leave_out: tuple[str, ...] = (),
    ) -> None:
        self._folder = Path(tempfile.mkdtemp(prefix='ragworthollow-'))
        self._ports = Ports(
            rng=random.Random(f'{seed}/{os.getpid()}/{deployment}'),
        )
        self.plan: FleetPlan = plan_fleet(deployment, self._ports)
        self.processes = Processes(folder=self._folder)
        self._settings = settings or {}
        self._split_upstreams = split_upstreams
        self._lag_ms = lag_ms
        self._leaving: set[str] = set()
        self._hidden: set[str] = set(leave_out)
        self.session: aiohttp.ClientSession | None = None

    @property
    def folder(self) -> Path:
        return self._folder

    @property
    def cluster_headers(self) -> dict[str, str]:
        return {'X-Ragworthollow-Cluster-Key': CLUSTER_KEY}

    @property
    def entries(self) -> list[PlannedInstance]:
        return self.plan.get_pool('entry')

    @property
    def sidecars(self) -> list[PlannedInstance]:
        return [one for one in self.plan.instances if one.kind != 'entry']

    async def start(self) -> None:
        """Start everything, apply the configuration, wait until ready."""
        self.session = aiohttp.ClientSession(
            trace_configs=[make_progress_trace()],
        )
        self._start_standins()
        await self._wait_for(self._is_platform_up)
        await self.publish_instances()
        for one in self.plan.instances:
            if one.name not in self._hidden:
                self.start_daemon(one.name)
        await self._wait_for(self._all_healthy)
        await self.apply_configuration()
        await self.wait_ready()

    async def stop(self) -> None:
        """End everything."""
        if self.session is not None:
            await self.session.close()
        self.processes.end_all()
        self._ports.release()

    def start_daemon(self, name: str) -> None:
        settings = self._folder / f'{name}.yaml'
        settings.write_text(yaml.safe_dump(self._get_settings(name)))
        self.processes.start_daemon(name, settings)

    async def wait_ready(self) -> None:
        """Wait until each daemon has a configuration and keys have owners."""
        await self._wait_for(self._all_ready)
        await self._wait_for(self._all_owned)
        await self._wait_for(self._all_loaded)

    async def apply_configuration(self, folder: Path | None = None) -> None:
        """Let each operator apply its files with the operators' own tool."""
        folder = folder or self.plan.folder / 'configuration'
        for operator in self.plan.file.operators:
            await asyncio.to_thread(self._apply_as, operator, folder)

    def run_tool(
        self,
        operator: str,
        *arguments: str,
    ) -> subprocess.CompletedProcess:
        """Run the operators' tool to its end."""
        tool = Path(sys.executable).parent / 'ragworthctl'
        entries = ' '.join(f'http://{one.address}' for one in self.entries)
        return subprocess.run(
            [str(tool), *arguments],
            env={
                **os.environ,
                'RAGWORTHOLLOW_OPERATOR_KEY': get_operator_key(operator),
                'RAGWORTHOLLOW_ENTRIES': entries,
            },
            capture_output=True,
            text=True,
            check=False,
            timeout=60,
        )

    async def publish_instances(self) -> None:
        """Put the list of instances to the platform, which lags."""
        listed = [
            {
                'instance': one.name,
                'pool': one.pool,
                'failure_domain': one.failure_domain,
                'address': one.address,
                'state': 'leaving' if one.name in self._leaving else 'live',
            }
            for one in self.plan.instances
            if one.name not in self._hidden
        ]
        url = f'http://{HOST}:{self.plan.list_port}/instances'
        async with self.session.put(url, json=listed):
            return

    async def set_listed(self, name: str, *, state: str) -> None:
        """List an instance as live, leaving or not at all."""
        self._leaving.discard(name)
        self._hidden.discard(name)
        if state == 'leaving':
            self._leaving.add(name)
        elif state == 'gone':
            self._hidden.add(name)
        await self.publish_instances()

    async def set_faults(self, port: int, **faults: float) -> None:
        """Tell a stand-in to misbehave; no faults means to behave."""
        url = f'http://{HOST}:{port}/faults'
        async with self.session.post(url, json=faults):
            return

    async def get_json(self, port: int, path: str):
        url = f'http://{HOST}:{port}{path}'
        async with self.session.get(url) as response:
            return msgspec.json.decode(await response.read())

    async def get_status(self, name: str) -> dict | None:
        """Return the status page of a daemon; None when it is silent."""
        try:
            async with asyncio.timeout(1):
                return await self.get_json(self.plan.get(name).port, '/status')
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def get_effects(self) -> list[dict]:
        """Return all effects that the plain services have recorded."""
        found = []
        for one in self.sidecars:
            if one.kind == 'plain':
                effects = await self.get_json(one.upstream_port, '/effects')
                found.extend(effects)
        return found

    async def restart(self, name: str, limit_s: float = 40) -> int | None:
        """Stop a daemon gracefully and start it again."""
        self.processes.send(name, signal.SIGTERM)
        code = await asyncio.to_thread(self.processes.wait, name, limit_s)
        self.start_daemon(name)
        return code

    async def count_violations(self) -> int:
        """Return the violated invariants of all daemons that answer."""
        statuses = [
            await self.get_status(one.name) for one in self.plan.instances
        ]
        return sum(one['violations'] for one in statuses if one is not None)

    async def _wait_for(self, is_true, limit_s: float = _START_LIMIT_S) -> None:
        end = time.monotonic() + limit_s
        while not await is_true():
            if time.monotonic() > end:
                raise TimeoutError(f'{is_true.__name__}, logs: {self._folder}')
            await asyncio.sleep(0.05)

    def _apply_as(self, operator: str, folder: Path) -> None:
        own = self._folder / f'configuration-of-{operator}'
        own.mkdir(exist_ok=True)
        for path in folder.glob('*.yaml'):
            (own / path.name).write_text(path.read_text())
        done = self.run_tool(
            operator,
            'apply',
            str(own),
            '--owner',
            operator,
            '--yes',
        )
        if done.returncode:
            raise RuntimeError(done.stdout + done.stderr)

    def _start_standins(self) -> None:
        self.start_platform()
        groups: dict[str, list[dict]] = {}
        for one in self.sidecars:
            group = one.name if self._split_upstreams else one.failure_domain
            groups.setdefault(f'upstream-{group}', []).append(
                get_standin(self.plan, one),
            )
        for name, specification in groups.items():
            self._start_group(name, specification)

    def start_platform(self) -> None:
        plan = self.plan
        self._start_group(
            'platform',
            [
                {'kind': 'key_value', 'port': plan.kv_port},
                {
                    'kind': 'instances',
                    'port': plan.list_port,
                    'options': {'lag_ms': self._lag_ms},
                },
                {'kind': 'weights', 'port': plan.weights_port},
            ],
        )

    def _start_group(self, name: str, specification: list[dict]) -> None:
        path = self._folder / f'{name}.json'
        path.write_bytes(msgspec.json.encode(specification))
        self.processes.start_standins(name, path)

    def _get_settings(self, name: str) -> dict:
        one = self.plan.get(name)
        settings = {
            'role': 'entry' if one.kind == 'entry' else 'sidecar',
            'instance': one.name,
            'failure_domain': one.failure_domain,
            'listen': {'host': HOST, 'port': one.port},
            'cluster_key': CLUSTER_KEY,
            'platform': {
                'kv_url': f'http://{HOST}:{self.plan.kv_port}',
                'instances_url': (
                    f'http://{HOST}:{self.plan.list_port}/instances'
                ),
                'weights_url': f'http://{HOST}:{self.plan.weights_port}',
            },
            **self._settings,
        }
        if one.kind == 'entry':
            settings['operators'] = [
                {
                    'name': operator,
                    'key_sha256': hash_secret(get_operator_key(operator)),
                }
                for operator in self.plan.file.operators
            ]
        else:
            settings['sidecar'] = {
                'pool': one.pool,
                'upstream_url': f'http://{HOST}:{one.upstream_port}',
            }
        return settings

    async def _is_platform_up(self) -> bool:
        ports = [self.plan.kv_port, self.plan.list_port]
        ports.extend(one.upstream_port for one in self.sidecars)
        try:
            for port in ports:
                await self.get_json(port, '/calls')
        except aiohttp.ClientError:
            return False
        return True

    async def _all_healthy(self) -> bool:
        statuses = await self._get_statuses()
        return all(status is not None for status in statuses)

    async def _all_ready(self) -> bool:
        statuses = await self._get_statuses()
        wanted = len(self.plan.file.operators)
        return all(
            status is not None and status['generation'] >= wanted
            for status in statuses
        )

    async def _all_owned(self) -> bool:
        """Tell whether every range of every pool with keys is settled."""
        owned: dict[str, list[int]] = {}
        for one in self.sidecars:
            if one.name in self._hidden:
                continue
            status = await self.get_status(one.name)
            if status is None:
                return False
            details = status['details']
            if details['epoch']:
                owned.setdefault(one.pool, []).append(details['ranges_owned'])
        sizes = {pool.name: pool.size for pool in self.plan.file.pools}
        return bool(owned) and all(
            sum(counts) == 64 and min(counts) and len(counts) == sizes[pool]
            for pool, counts in owned.items()
        )

    async def _all_loaded(self) -> bool:
        """Tell whether every engine carries a model."""
        engines = [one for one in self.sidecars if one.kind == 'engine']
        statuses = [
            await self.get_status(one.name)
            for one in engines
            if one.name not in self._hidden
        ]
        return all(
            status is not None and status['details']['models']
            for status in statuses
        )

    async def _get_statuses(self) -> list[dict | None]:
        return await asyncio.gather(
            *(
                self.get_status(one.name)
                for one in self.plan.instances
                if one.name not in self._hidden
            ),
        )


def get_operator_key(operator: str) -> str:
    return f'demo-key-of-operator-{operator}'


def get_caller_key(organisation: str) -> str:
    return f'demo-key-of-{organisation}'
