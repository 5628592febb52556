"""Play one day."""

import asyncio
import random

from measure.fleet_model.arrivals import draw_arrivals
from measure.fleet_model.callers import Callers
from measure.fleet_model.engine_instance import EngineInstance
from measure.fleet_model.gateway import ENGINES, ModelGateway
from measure.fleet_model.hosting import Hosting, connect
from measure.fleet_model.load_sheet import LoadSheet, Pattern
from measure.fleet_model.network import Network
from measure.fleet_model.outcome import (
    DayReport,
    PoolReport,
    RequestRecord,
    sum_attained,
    sum_kinds,
)
from measure.fleet_model.patterns import SPAN_MS
from measure.fleet_model.stage_instance import StageInstance
from measure.fleet_model.tables import make_table
from measure.fleet_model.virtual_time import VirtualLoop
from ragworthollow.conf import GatewaySettings
from ragworthollow.upstreams import UpstreamInstance
from ragworthollow.utils import override_clocks

_MILLISECONDS = 1000
# The followers of a gateway notice a change of instances so late.
_LIST_LAG_MS = 600
# Further attempts beside a share of the requests, as the users grant.
_RETRY_SLACK = 50


class Day:
    """
    Play one day of a deployment.

    Parameters
    ----------
    sheet : LoadSheet
        The deployment.
    pattern : Pattern
        What happens.
    hosting : Hosting
        Who fills the calls of a pool.
    seed : int
        Of all random numbers.
    span_ms : float
        How long requests come.
    """

    def __init__(
        self,
        *,
        sheet: LoadSheet,
        pattern: Pattern,
        hosting: Hosting = Hosting.pool,
        seed: int = 1,
        span_ms: float = SPAN_MS,
    ) -> None:
        self.sheet = sheet
        self.pattern = pattern
        self.records: list[RequestRecord] = []
        self._hosting = hosting
        self._seed = seed
        self._span_ms = span_ms
        self._network = Network(sheet=sheet)
        self._table = make_table(sheet)

    def play(self) -> DayReport:
        """Play the day on a loop of its own."""
        loop = VirtualLoop()
        try:
            with override_clocks(loop.get_ms):
                loop.run_until_complete(self._play())
        finally:
            loop.close()
        return self._report()

    def get_busy_ms(self, pool: str, step_ms: float) -> list[float]:
        """Return how long the instances of a pool worked, by step of time."""
        steps = [0.0 for _ in range(int(self._span_ms // step_ms))]
        for name, instance in self._network.stages.items():
            if name.rpartition('-')[0] != pool:
                continue
            for began_ms, took_ms in instance.calls:
                step = int(began_ms // step_ms)
                if step < len(steps):
                    steps[step] += took_ms
        return steps

    async def _play(self) -> None:
        self._add_instances()
        self._add_gateways()
        self._set_faults()
        arrivals = draw_arrivals(
            self.sheet,
            self.pattern,
            self._span_ms,
            self._seed,
        )
        troubles = asyncio.ensure_future(self._make_troubles())
        callers = Callers(
            network=self._network, table=self._table, seed=self._seed
        )
        self.records = await callers.send_all(arrivals)
        troubles.cancel()
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
        connect(self._hosting, self._network)
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
            ),
            table=self._table,
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

    async def _restart_all(self) -> None:
        """Replace every gateway by one that knows nothing."""
        for gateway in self._network.gateways.values():
            await gateway.context.close()
        self._add_gateways()

    def _find_busiest_host(self) -> str:
        """Return who hosts the gate of the pool that most kinds need first."""
        first = self._network.gateways['gateway-0']
        host = first.members.find_host(next(iter(self.sheet.pools)))
        return first.name if host is None else host.instance

    def _list_instances(self) -> None:
        listed = [
            self._describe(name, name.rpartition('-')[0])
            for name, instance in self._network.stages.items()
            if not instance.is_lost
        ]
        listed += [
            self._describe(name, ENGINES) for name in self._network.engines
        ]
        for gateway in self._network.gateways.values():
            gateway.context.directory.replace(listed, 0)

    def _describe(self, name: str, pool: str) -> UpstreamInstance:
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

    async def _make_troubles(self) -> None:
        changes = []
        for lost in self.pattern.lost:
            instance = self._network.stages[f'{lost.pool}-{lost.number}']
            changes.append((lost.start_ms, instance.lose))
            changes.append((lost.end_ms, instance.return_))
        for slow in self.pattern.slow:
            instance = self._network.stages[f'{slow.pool}-{slow.number}']
            changes.append((slow.start_ms, _make_pace(instance, slow.factor)))
            changes.append((slow.end_ms, _make_pace(instance, 1)))
        killed = self.pattern.all_killed
        if killed is not None:
            changes.append((killed.end_ms, self._restart_all))
        loop = asyncio.get_running_loop()
        for at_ms, change in sorted(changes, key=lambda one: one[0]):
            await asyncio.sleep(at_ms / _MILLISECONDS - loop.time())
            restarting = change()
            if restarting is not None:
                await restarting
            await asyncio.sleep(_LIST_LAG_MS / _MILLISECONDS)
            self._list_instances()

    def _report(self) -> DayReport:
        return DayReport(
            attained=sum_attained(self.sheet, self.records),
            kinds=sum_kinds(self.sheet, self.records),
            pools={pool: self._sum_pool(pool) for pool in self.sheet.pools},
            tokens_read=sum(
                one.tokens_read_again for one in self._network.engines.values()
            ),
        )

    def _sum_pool(self, pool: str) -> PoolReport:
        instances = [
            one
            for name, one in self._network.stages.items()
            if name.rpartition('-')[0] == pool
        ]
        time_ms = self._span_ms * len(instances)
        return PoolReport(
            busy=sum(one.busy_ms for one in instances) / time_ms,
            pieces=sum(one.pieces_made for one in instances),
        )


def _make_pace(instance: StageInstance, factor: float):
    def change() -> None:
        instance.slow_factor = factor

    return change
