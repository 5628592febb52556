"""Give engines faults for a few seconds each, in overlapping series."""

import asyncio
import random
from collections.abc import Mapping
from types import MappingProxyType

from measure.faulty_fleet import FaultyFleet
from tests.standins.engine_fault import EngineFault

# Share of the requests of an engine that have a fault while it is present.
_SECOND_ANSWERS = MappingProxyType(
    {
        EngineFault.second_rejection: 0.3,
        EngineFault.second_answer: 0.05,
        EngineFault.idle_answer: 0.05,
    }
)
_OTHER_FAULTS = MappingProxyType(
    {
        EngineFault.hang: 0.02,
        EngineFault.reset: 0.05,
        EngineFault.endless_head: 0.01,
        EngineFault.endless_body: 0.01,
    }
)
_PAUSE_S = (0, 2)
_WINDOW_S = (4, 6)
_REPLACEMENT_PAUSE_S = (0.5, 2)
_REPLACEMENT_OVERLAP_S = (0.2, 1)


class EngineBreakage:
    """
    Make engines send second answers, hang, reset or not end; replace them.

    Parameters
    ----------
    fleet : FaultyFleet
        Whose engines to disturb.
    rng : Random
        Makes the choices repeatable.
    """

    def __init__(self, *, fleet: FaultyFleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng

    async def run(self) -> None:
        """Disturb until cancelled."""
        await asyncio.gather(
            *(
                self._repeat(ratios, random.Random(self._rng.random()))
                for ratios in (_SECOND_ANSWERS, _SECOND_ANSWERS, _OTHER_FAULTS)
            ),
            self._replace(random.Random(self._rng.random())),
        )

    async def _repeat(
        self, ratios: Mapping[EngineFault, float], rng: random.Random
    ) -> None:
        while True:
            await asyncio.sleep(rng.uniform(*_PAUSE_S))
            engine = rng.choice(tuple(self._fleet.upstreams.values()))
            engine.fault_ratios.update(ratios)
            try:
                await asyncio.sleep(rng.uniform(*_WINDOW_S))
            finally:
                for fault in ratios:
                    engine.fault_ratios.pop(fault, None)

    def _get_serving(self) -> list[str]:
        return [
            name
            for name, engine in self._fleet.upstreams.items()
            if not engine.has_crashed
        ]

    async def _replace(self, rng: random.Random) -> None:
        """Give the address of an engine to another, again and again."""
        while True:
            await asyncio.sleep(rng.uniform(*_REPLACEMENT_PAUSE_S))
            await self._fleet.replace_engine(
                rng.choice(self._get_serving()),
                rng.uniform(*_REPLACEMENT_OVERLAP_S),
            )
