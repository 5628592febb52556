"""Run gateways in front of engines that reject requests and have faults."""

import asyncio
import random
from collections import Counter

from measure.gateway_fleet import GatewayFleet
from tests.standins.engine_fault import EngineFault
from tests.standins.limited_engine import LimitedEngine

_SLOTS = 3
_QUEUE = 2
_POOL = 'plain'
# More than there are engines: one that has a new name gets a request again.
_MANY_ATTEMPTS = 6
_SINGLE_ATTEMPT = {'unsafe': '/unsafe-once/', 'stream': '/stream-once/'}


class FaultyFleet(GatewayFleet):
    """
    Run gateways with routes of one attempt, and engines that are soon full.

    Parameters
    ----------
    size : int
        Number of gateways.
    rng : Random
        Chooses the requests with a fault.
    """

    def __init__(self, *, size: int, rng: random.Random) -> None:
        super().__init__(size=size)
        self._rng = rng
        self._replaced = 0

    def make_configuration(self, version: int) -> dict:
        made = super().make_configuration(version)
        routes = [
            {**route, 'max_attempts': _MANY_ATTEMPTS}
            for route in made['routes']
        ]
        routes += [
            {
                **route,
                'name': f'{route["name"]}-once',
                'path_prefix': _SINGLE_ATTEMPT[route['kind']],
                'max_attempts': 1,
            }
            for route in made['routes']
            if route['kind'] in _SINGLE_ATTEMPT and not route['can_resume']
        ]
        return {**made, 'routes': routes}

    def make_upstream(self, name: str, **options) -> LimitedEngine:
        return LimitedEngine(
            name,
            rng=random.Random(self._rng.random()),
            slots=_SLOTS,
            queue=_QUEUE,
            **options,
        )

    async def replace_engine(self, name: str, overlap_s: float) -> None:
        """Let an engine with another name take the address of one."""
        self._replaced += 1
        version = name.partition('-')[0]
        new_name = f'{version}-e{self._replaced}'
        engine = self.upstreams.pop(name)
        engine.name = new_name
        self.upstreams[new_name] = engine
        self.failure_domains[new_name] = self.failure_domains[name]
        await self.publish_instance(new_name, _POOL, version=version)
        await asyncio.sleep(overlap_s)
        await self.remove_instance(name)

    def count_engine_faults(self) -> Counter[str]:
        return sum(
            (engine.counts for engine in self.upstreams.values()), Counter()
        )

    async def wait_for_second_rejections(self, count: int) -> None:
        await self.wait_for(
            lambda: (
                self.count_engine_faults()[EngineFault.second_rejection]
                >= count
            )
        )

    async def stop_all(self) -> None:
        """Stop all gateways, and wait until no request can run any more."""
        await super().stop_all()
        await self.wait_for(
            lambda: all(engine.is_idle() for engine in self.upstreams.values())
        )
