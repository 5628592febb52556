"""Simulate one day of a deployment."""

import asyncio
import random

from measure.fleet_model.arrivals import draw_arrivals
from measure.fleet_model.callers import Callers
from measure.fleet_model.engine_instance import EngineInstance
from measure.fleet_model.gateway import ENGINES, ModelGateway
from measure.fleet_model.hosting import Hosting, set_gateway_members
from measure.fleet_model.load_sheet import LoadSheet, Pattern
from measure.fleet_model.network import Network
from measure.fleet_model.outcome import (
    DayReport,
    PoolReport,
    RequestRecord,
    sum_attained,
    summarise_kinds,
)
from measure.fleet_model.patterns import DAY_DURATION_MS
from measure.fleet_model.stage_instance import StageInstance
from measure.fleet_model.tables import make_route_table
from measure.fleet_model.virtual_time import VirtualLoop
from ragworthollow.conf import GatewaySettings
from ragworthollow.upstreams import UpstreamInstance
from ragworthollow.utils import override_clocks

_MILLISECONDS = 1000
# Delay until the subscribers of a gateway see a change of the instance list.
_INSTANCE_LIST_LAG_MS = 600
# Retries allowed in addition to the retry ratio, as users configure it.
_RETRY_SLACK = 50


class Day:
    """
    Simulate one day of a deployment.

    Parameters
    ----------
    sheet : LoadSheet
        Deployment and its load.
    pattern : Pattern
        Bursts and faults of the day.
    hosting : Hosting
        Strategy that assigns the schedulers of pools to gateways.
    seed : int
        Seed of all random number generators.
    duration_ms : float
        Duration of the day; no request arrives later.
    """

    def __init__(
        self,
        *,
        sheet: LoadSheet,
        pattern: Pattern,
        hosting: Hosting = Hosting.pool,
        seed: int = 1,
        duration_ms: float = DAY_DURATION_MS,
    ) -> None:
        self.sheet = sheet
        self.pattern = pattern
        self.records: list[RequestRecord] = []
        self._hosting = hosting
        self._seed = seed
        self._duration_ms = duration_ms
        self._network = Network(sheet=sheet)
        self._route_table = make_route_table(sheet)

    def simulate(self) -> DayReport:
        """Simulate the day on its own event loop and return its report."""
        loop = VirtualLoop()
        try:
            with override_clocks(loop.get_ms):
                loop.run_until_complete(self._simulate())
        finally:
            loop.close()
        return self._make_report()

    def get_busy_ms(self, pool: str, step_ms: float) -> list[float]:
        """Return the total busy time of a pool by time step."""
        steps = [0.0 for _ in range(int(self._duration_ms // step_ms))]
        for name, instance in self._network.stages.items():
            if name.rpartition('-')[0] != pool:
                continue
            for started_ms, call_ms in instance.calls:
                step = int(started_ms // step_ms)
                if step < len(steps):
                    steps[step] += call_ms
        return steps

    async def _simulate(self) -> None:
        self._add_instances()
        self._add_gateways()
        self._set_faults()
        arrivals = draw_arrivals(
            self.sheet,
            self.pattern,
            self._duration_ms,
            self._seed,
        )
        pattern_task = asyncio.ensure_future(self._apply_pattern())
        callers = Callers(
            network=self._network,
            route_table=self._route_table,
            seed=self._seed,
        )
        self.records = await callers.send_all(arrivals)
        pattern_task.cancel()
        self._network.close()
        for gateway in self._network.gateways.values():
            await gateway.context.close()

    def _add_instances(self) -> None:
        for pool, sheet in self.sheet.pools.items():
            shares = {
                stage.result_bytes: stage.work_share
                for kind in self.sheet.kinds.values()
                for stage in kind.stages
                if stage.pool == pool
            }
            for number in range(sheet.instances):
                name = f'{pool}-{number}'
                self._network.stages[name] = StageInstance(
                    name=name,
                    sheet=sheet,
                    work_shares=shares,
                    seed=self._seed,
                )
        for number in range(self.sheet.engine.instances):
            self._network.engines[f'{ENGINES}-{number}'] = EngineInstance(
                sheet=self.sheet.engine,
            )

    def _add_gateways(self) -> None:
        for number in range(self.sheet.gateways):
            gateway = self._make_gateway(number)
            self._network.gateways[gateway.name] = gateway
        set_gateway_members(self._hosting, self._network)
        self._list_instances()
        names = self._network.gateways.keys()
        for gateway in self._network.gateways.values():
            gateway.context.set_members(names, 0)
            gateway.start()

    def _make_gateway(self, number: int) -> ModelGateway:
        name = f'gateway-{number}'
        gateway = ModelGateway(
            settings=GatewaySettings(
                role='gateway',
                instance=name,
                failure_domain=self._get_domain(number),
                front_address='',
                ready_address='',
                peer_address=name,
                store_url='http://store',
                retry_slack=_RETRY_SLACK,
                scarce_result_space=self.sheet.scarce_result_space,
            ),
            route_table=self._route_table,
            network=self._network,
        )
        rng = random.Random(f'{name}/{self._seed}')  # noqa: S311
        gateway.context.rng = rng
        return gateway

    def _set_faults(self) -> None:
        if self.pattern.gateway_fault is not None:
            host = self._find_busiest_host()
            self._network.faults[host] = self.pattern.gateway_fault
        if self.pattern.all_killed is not None:
            for name in self._network.gateways:
                self._network.faults[name] = self.pattern.all_killed

    async def _restart_gateways(self) -> None:
        """Replace every gateway by a new gateway without state."""
        for gateway in self._network.gateways.values():
            await gateway.context.close()
        self._add_gateways()

    def _find_busiest_host(self) -> str:
        """Return the host of the pool that most kinds need first."""
        first_gateway = self._network.gateways['gateway-0']
        host = first_gateway.members.find_host(next(iter(self.sheet.pools)))
        return first_gateway.name if host is None else host.instance

    def _list_instances(self) -> None:
        listed = [
            self._make_upstream_instance(name, name.rpartition('-')[0])
            for name, instance in self._network.stages.items()
            if not instance.is_lost
        ]
        listed += [
            self._make_upstream_instance(name, ENGINES)
            for name in self._network.engines
        ]
        for gateway in self._network.gateways.values():
            gateway.context.directory.replace(listed, 0)

    def _make_upstream_instance(self, name: str, pool: str) -> UpstreamInstance:
        number = int(name.rpartition('-')[2])
        is_engine = pool == ENGINES
        return UpstreamInstance(
            instance=name,
            pool=pool,
            address=name,
            failure_domain=self._get_domain(number),
            slots=self.sheet.engine.slots if is_engine else 1,
        )

    def _get_domain(self, number: int) -> str:
        domains = self.sheet.failure_domains
        return domains[number % len(domains)]

    async def _apply_pattern(self) -> None:
        changes = []
        for lost in self.pattern.lost:
            instance = self._network.stages[f'{lost.pool}-{lost.number}']
            changes.append((lost.start_ms, instance.mark_lost))
            changes.append((lost.end_ms, instance.restore))
        for slow in self.pattern.slow:
            instance = self._network.stages[f'{slow.pool}-{slow.number}']
            changes.append(
                (slow.start_ms, _make_slowdown(instance, slow.factor))
            )
            changes.append((slow.end_ms, _make_slowdown(instance, 1)))
        killed = self.pattern.all_killed
        if killed is not None:
            changes.append((killed.end_ms, self._restart_gateways))
        loop = asyncio.get_running_loop()
        for at_ms, change in sorted(changes, key=lambda entry: entry[0]):
            await asyncio.sleep(at_ms / _MILLISECONDS - loop.time())
            restart = change()
            if restart is not None:
                await restart
            await asyncio.sleep(_INSTANCE_LIST_LAG_MS / _MILLISECONDS)
            self._list_instances()

    def _make_report(self) -> DayReport:
        return DayReport(
            attained=sum_attained(self.sheet, self.records),
            kinds=summarise_kinds(self.sheet, self.records),
            pools={
                pool: self._summarise_pool(pool) for pool in self.sheet.pools
            },
            tokens_read=sum(
                engine.uncached_shared_tokens
                for engine in self._network.engines.values()
            ),
        )

    def _summarise_pool(self, pool: str) -> PoolReport:
        instances = [
            instance
            for name, instance in self._network.stages.items()
            if name.rpartition('-')[0] == pool
        ]
        time_ms = self._duration_ms * len(instances)
        return PoolReport(
            busy=sum(instance.busy_ms for instance in instances) / time_ms,
            pieces=sum(instance.pieces_completed for instance in instances),
        )


def _make_slowdown(instance: StageInstance, factor: float):
    def change() -> None:
        instance.slow_factor = factor

    return change
