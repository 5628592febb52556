"""Plan the processes of a deployment."""

from dataclasses import dataclass
from pathlib import Path

import msgspec
import yaml

from measure.ports import Ports

HOST = '127.0.0.1'
ROOT = Path(__file__).resolve().parent.parent

_SERVICE_MS = {'encode': 3, 'retrieve': 4, 'rerank': 5, 'plain': 4}


class PoolPlan(msgspec.Struct, frozen=True, kw_only=True):
    name: str
    kind: str
    size: int
    checks_fencing: bool = True


class FleetFile(msgspec.Struct, frozen=True, kw_only=True):
    name: str
    failure_domains: tuple[str, ...]
    entries: int
    weighs: str
    operators: tuple[str, ...]
    pools: tuple[PoolPlan, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class PlannedInstance:
    """
    Plan one process of the system and the stand-in beside it.

    Attributes
    ----------
    name, pool, kind, failure_domain : str
        What it is.
    port, upstream_port : int
        Where they listen; entries have no upstream.
    """

    name: str
    pool: str
    kind: str
    failure_domain: str
    port: int
    upstream_port: int = 0

    @property
    def address(self) -> str:
        return f'{HOST}:{self.port}'


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetPlan:
    """Plan a deployment; ports are fixed for its whole life."""

    file: FleetFile
    folder: Path
    instances: tuple[PlannedInstance, ...]
    kv_port: int
    list_port: int
    weights_port: int

    def get_pool(self, pool: str) -> list[PlannedInstance]:
        return [one for one in self.instances if one.pool == pool]

    def get(self, name: str) -> PlannedInstance:
        return next(one for one in self.instances if one.name == name)


def plan_fleet(deployment: str, ports: Ports) -> FleetPlan:
    folder = ROOT / 'deployments' / deployment
    fleet_file = msgspec.convert(
        yaml.safe_load((folder / 'fleet.yaml').read_text()),
        FleetFile,
    )
    domains = fleet_file.failure_domains
    instances = [
        PlannedInstance(
            name=f'entry-{number}',
            pool='entry',
            kind='entry',
            failure_domain=domains[number % len(domains)],
            port=ports.take(),
        )
        for number in range(fleet_file.entries)
    ]
    for offset, pool in enumerate(fleet_file.pools):
        instances.extend(
            PlannedInstance(
                name=f'{pool.name}-{number}',
                pool=pool.name,
                kind=pool.kind,
                failure_domain=domains[(number + offset) % len(domains)],
                port=ports.take(),
                upstream_port=ports.take(),
            )
            for number in range(pool.size)
        )
    return FleetPlan(
        file=fleet_file,
        folder=folder,
        instances=tuple(instances),
        kv_port=ports.take(),
        list_port=ports.take(),
        weights_port=ports.take(),
    )


def get_standin(plan: FleetPlan, one: PlannedInstance) -> dict:
    """Return the specification of the stand-in beside an instance."""
    if one.kind != 'engine':
        return {
            'kind': 'pool',
            'port': one.upstream_port,
            'options': {'name': one.name, 'service_ms': _SERVICE_MS[one.kind]},
        }
    pool = next(pool for pool in plan.file.pools if pool.name == one.pool)
    return {
        'kind': 'engine',
        'port': one.upstream_port,
        'options': {
            'name': one.name,
            'checks_fencing': pool.checks_fencing,
            'weights_url': f'http://{HOST}:{plan.weights_port}',
        },
    }
