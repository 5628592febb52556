"""Replace engines by those of other software versions; kill all gateways."""

import asyncio
import random
from collections import Counter

from measure.gateway_fleet import GatewayFleet
from tests.standins.upstream import UpstreamStandin

_POOL = 'plain'
_RELEASE_PAUSE_S = (0, 3)
_START_STEP_S = (0, 0.5)
# Both versions are ready for so long.
_OVERLAP_S = (0, 4)
_LEAVING_STEP_S = (0, 1)
_DRAINING_S = (0.5, 3)
_UNREPORTED_RATIO = 0.3
# How long an engine still serves after its entry has been removed.
_REMOVED_S = (0.2, 1)
_LOSS_AFTER_RELEASE_RATIO = 0.5
_LOSS_PAUSE_S = (3, 9)
_LOSS_S = (0, 1)


class ReleaseBreakage:
    """
    Release software versions of the engines, and lose all gateways.

    Parameters
    ----------
    fleet : GatewayFleet
        What to disturb.

    Attributes
    ----------
    counts : Counter
        Number of disturbances of each kind.
    """

    def __init__(self, *, fleet: GatewayFleet) -> None:
        self._fleet = fleet
        self._version = 1
        self._serving: list[UpstreamStandin] = list(fleet.upstreams.values())
        self.counts: Counter[str] = Counter()

    async def release(self, rng: random.Random) -> None:
        """Start engines of a new version, and let those of the old one go."""
        await asyncio.sleep(rng.uniform(*_RELEASE_PAUSE_S))
        self.counts['release'] += 1
        self._version += 1
        old, self._serving = self._serving, []
        for number in range(1, len(old) + 1):
            name = f'v{self._version}-u{number}'
            await self._fleet.add_upstream(
                name, _POOL, version=f'v{self._version}'
            )
            self._serving.append(self._fleet.upstreams[name])
            await asyncio.sleep(rng.uniform(*_START_STEP_S))
        await asyncio.sleep(rng.uniform(*_OVERLAP_S))
        await asyncio.gather(
            *(self._retire(one, random.Random(rng.random())) for one in old)
        )
        if rng.random() < _LOSS_AFTER_RELEASE_RATIO:
            await self._lose_all(rng)

    async def lose_all(self, rng: random.Random) -> None:
        """Kill all gateways at once after a while, and start them again."""
        await asyncio.sleep(rng.uniform(*_LOSS_PAUSE_S))
        await self._lose_all(rng)

    async def _lose_all(self, rng: random.Random) -> None:
        self.counts['total_loss'] += 1
        lost = self._fleet.kill_all()
        await asyncio.sleep(rng.uniform(*_LOSS_S))
        await asyncio.gather(*map(self._fleet.start, lost))

    async def _retire(
        self, engine: UpstreamStandin, rng: random.Random
    ) -> None:
        await asyncio.sleep(rng.uniform(*_LEAVING_STEP_S))
        if rng.random() >= _UNREPORTED_RATIO:
            await self._fleet.publish_instance(
                engine.name,
                _POOL,
                'draining',
                version=engine.name.partition('-')[0],
            )
            await asyncio.sleep(rng.uniform(*_DRAINING_S))
        await self._fleet.remove_instance(engine.name)
        await asyncio.sleep(rng.uniform(*_REMOVED_S))
        self._fleet.crash_engine(engine)
