"""Replace engines by those of other software versions; kill all gateways."""

import asyncio
import random
from collections import Counter

from measure.gateway_fleet import GatewayFleet
from tests.standins.upstream import UpstreamStandin

_POOL = 'plain'
_RELEASE_PAUSE_S = (0, 2)
_START_STEP_S = (0, 0.3)
# Both versions are ready for so long.
_OVERLAP_S = (0, 2)
_LEAVING_STEP_S = (0, 0.5)
_DRAINING_S = (0.2, 1.5)
_UNREPORTED_RATIO = 0.5
# How long an engine still serves after its entry has been removed.
_REMOVED_S = (0.2, 3)
_LOSS_AFTER_RELEASE_RATIO = 0.7
_LOSS_PAUSE_S = (5, 10)
_LOSS_S = (0, 0.5)
_POLL_S = 0.02


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
        withdraw = self._withdraw
        if rng.random() < _UNREPORTED_RATIO:
            withdraw = self._remove
        await asyncio.gather(
            *(withdraw(one, random.Random(rng.random())) for one in old)
        )
        has_loss = rng.random() < _LOSS_AFTER_RELEASE_RATIO
        ending = asyncio.gather(
            *(self._end(one, rng.uniform(*_REMOVED_S)) for one in old)
        )
        if has_loss:
            await self._lose_all(rng)
        await ending

    async def lose_all(self, rng: random.Random) -> None:
        """Kill all gateways at once after a while, and start them again."""
        await asyncio.sleep(rng.uniform(*_LOSS_PAUSE_S))
        await self._lose_all(rng)

    async def _lose_all(self, rng: random.Random) -> None:
        # Where processes start slowly, none would ever serve between losses.
        while not self._fleet.get_ready():
            await asyncio.sleep(_POLL_S)
        self.counts['total_loss'] += 1
        lost = self._fleet.kill_all()
        await asyncio.sleep(rng.uniform(*_LOSS_S))
        await asyncio.gather(*map(self._fleet.start, lost))

    async def _withdraw(
        self, engine: UpstreamStandin, rng: random.Random
    ) -> None:
        await asyncio.sleep(rng.uniform(*_LEAVING_STEP_S))
        version = engine.name.partition('-')[0]
        await self._fleet.publish_instance(
            engine.name, _POOL, 'draining', version=version
        )
        await asyncio.sleep(rng.uniform(*_DRAINING_S))
        await self._fleet.remove_instance(engine.name)

    async def _remove(
        self, engine: UpstreamStandin, rng: random.Random
    ) -> None:
        """Remove an entry that has never reported that its engine leaves."""
        await asyncio.sleep(rng.uniform(*_LEAVING_STEP_S))
        await self._fleet.remove_instance(engine.name)

    async def _end(self, engine: UpstreamStandin, after_s: float) -> None:
        await asyncio.sleep(after_s)
        self._fleet.crash_engine(engine)
