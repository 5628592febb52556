"""Run a platform and a few daemons with a configuration of any size."""

import asyncio
import os
import random
import tempfile
from pathlib import Path

import aiohttp
import msgspec
import yaml

from measure.fleet import CLUSTER_KEY, get_operator_key
from measure.fleet_plan import HOST
from measure.large import Size, make_files, make_instances
from measure.ports import Ports
from measure.process_usage import Usage, read_usage
from measure.processes import Processes
from ragworthollow.utils import hash_secret, make_identifier

_OPERATOR = 'consortium'
_OPERATOR_HEADER = 'X-Ragworthollow-Operator-Key'


class SmallFleet:
    """
    Own the platform's stand-ins and daemons that are started one by one.

    Parameters
    ----------
    size : Size
        Of the configuration and of the instance list.
    """

    def __init__(self, size: Size) -> None:
        self.size = size
        self.folder = Path(tempfile.mkdtemp(prefix='ragworthollow-'))
        self.ports = Ports(rng=random.Random(os.getpid()))
        self.processes = Processes(folder=self.folder)
        self.kv_port = self.ports.take()
        self.list_port = self.ports.take()
        self.upstream_port = self.ports.take()
        self.daemons: dict[str, int] = {}
        self._own: list[dict] = []
        self.session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        self.session = aiohttp.ClientSession(
            headers={'X-Ragworthollow-Cluster-Key': CLUSTER_KEY},
        )
        path = self.folder / 'platform.json'
        path.write_bytes(
            msgspec.json.encode(
                [
                    {'kind': 'key_value', 'port': self.kv_port},
                    {'kind': 'instances', 'port': self.list_port},
                    {
                        'kind': 'pool',
                        'port': self.upstream_port,
                        'options': {'name': 'upstream', 'service_ms': 1},
                    },
                ],
            ),
        )
        self.processes.start_standins('platform', path)
        await self._wait(self.list_port, '/calls')

    async def stop(self) -> None:
        await self.session.close()
        self.processes.end_all()
        self.ports.release()

    async def add_daemon(
        self,
        name: str,
        *,
        pool: str = 'entry',
        domain: str = 'domain-0',
        **changes: object,
    ) -> int:
        """Start one daemon, with changed settings, and return its port."""
        port = self.ports.take()
        settings = {
            'role': 'entry' if pool == 'entry' else 'sidecar',
            'instance': name,
            'failure_domain': domain,
            'listen': {'host': HOST, 'port': port},
            'cluster_key': CLUSTER_KEY,
            'balancer_lag_ms': 0,
            'platform': {
                'kv_url': f'http://{HOST}:{self.kv_port}',
                'instances_url': f'http://{HOST}:{self.list_port}/instances',
            },
        }
        if pool == 'entry':
            key_hash = hash_secret(get_operator_key(_OPERATOR))
            operator = {'name': _OPERATOR, 'key_sha256': key_hash}
            settings['operators'] = [operator]
        else:
            upstream = f'http://{HOST}:{self.upstream_port}'
            settings['sidecar'] = {'pool': pool, 'upstream_url': upstream}
        settings.update(changes)
        path = self.folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(settings))
        self.processes.start_daemon(name, path)
        self.daemons[name] = port
        self.add_own(name, pool, f'{HOST}:{port}', domain)
        return port

    def add_own(
        self, name: str, pool: str, address: str, domain: str = 'domain-0'
    ) -> None:
        """Add an instance to those that are listed."""
        self._own.append(
            {
                'instance': name,
                'pool': pool,
                'failure_domain': domain,
                'address': address,
                'state': 'live',
            },
        )

    async def wait_started(self) -> None:
        for port in self.daemons.values():
            await self._wait(port, '/status')

    async def list_instances(self, *, with_others: bool = True) -> None:
        """List our daemons, and others that exist on paper only."""
        others = make_instances(self.size) if with_others else []
        # Nobody is there: they must not be chosen as watchers of our domain.
        for one in others:
            one['failure_domain'] = f'other-{one["failure_domain"]}'
        url = f'http://{HOST}:{self.list_port}/instances'
        async with self.session.put(url, json=[*self._own, *others]):
            return

    async def publish(self, files: dict[str, str], base: dict) -> dict:
        """Put files in force through an entry and return the answer."""
        port = next(iter(self.daemons.values()))
        async with self.session.post(
            f'http://{HOST}:{port}/v1/operator/changes',
            json={'change_id': make_identifier(), 'base': base, 'puts': files},
            headers={_OPERATOR_HEADER: get_operator_key(_OPERATOR)},
        ) as response:
            answer = await response.json()
        assert answer.get('accepted'), answer
        return answer

    async def publish_all(self) -> dict[str, str]:
        files = make_files(self.size)
        answer = await self.publish(files, {})
        await self.wait_generation(answer['generation'])
        return files

    async def wait_generation(self, generation: int) -> None:
        for port in self.daemons.values():
            while (await self.get_json(port, '/status'))[
                'generation'
            ] < generation:
                await asyncio.sleep(0.05)

    async def get_json(self, port: int, path: str):
        async with self.session.get(f'http://{HOST}:{port}{path}') as response:
            return msgspec.json.decode(await response.read())

    async def count_control(self, name: str) -> float:
        """Return the control messages that a daemon has received."""
        url = f'http://{HOST}:{self.daemons[name]}/metrics'
        async with self.session.get(url) as response:
            text = await response.text()
        return sum(
            float(line.split()[-1])
            for line in text.splitlines()
            if line.startswith('ragworthollow_events_total')
            and 'control_message' in line
        )

    def read_usage(self, name: str) -> Usage:
        return read_usage(self.processes.get_pid(name))

    async def _wait(self, port: int, path: str) -> None:
        while True:
            try:
                await self.get_json(port, path)
            except aiohttp.ClientError:
                await asyncio.sleep(0.05)
            else:
                return


def read_loopback_bytes() -> int:
    """Return the bytes that the loopback interface has carried."""
    for line in Path('/proc/net/dev').read_text().splitlines():
        name, _, counts = line.partition(':')
        if name.strip() == 'lo':
            return int(counts.split()[0])
    return 0
