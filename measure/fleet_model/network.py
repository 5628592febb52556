"""Model what connects gateways, stage instances and engines."""

import asyncio
from typing import TYPE_CHECKING

from measure.fleet_model.engine_instance import EngineInstance
from measure.fleet_model.load_sheet import GatewayFault, LoadSheet
from measure.fleet_model.stage_instance import StageInstance
from ragworthollow.exchange import RequestParameters
from ragworthollow.utils import get_monotonic_ms

if TYPE_CHECKING:
    from measure.fleet_model.gateway import ModelGateway

_MILLISECONDS = 1000


class Network:
    """
    Carry what processes say to each other.

    Parameters
    ----------
    sheet : LoadSheet
        Delays.
    """

    def __init__(self, *, sheet: LoadSheet) -> None:
        self.sheet = sheet
        self.stages: dict[str, StageInstance] = {}
        self.engines: dict[str, EngineInstance] = {}
        self.gateways: dict[str, ModelGateway] = {}
        self.faults: dict[str, GatewayFault] = {}
        self._generating: set[asyncio.Task[None]] = set()

    def find_fault(self, name: str) -> str:
        """Return what befalls a gateway now; empty for nothing."""
        fault = self.faults.get(name)
        now_ms = get_monotonic_ms()
        if fault is None or not fault.start_ms <= now_ms < fault.end_ms:
            return ''
        return fault.kind

    async def travel(self, name: str) -> None:
        """Pass the network; a process that is frozen notices later."""
        await asyncio.sleep(self.sheet.one_way_ms / _MILLISECONDS)
        await self.wait_awake(name)

    async def wait_awake(self, name: str) -> None:
        """Wait until a process is not frozen."""
        fault = self.faults.get(name)
        if fault is not None and self.find_fault(name) == 'freeze':
            left_ms = fault.end_ms - get_monotonic_ms()
            await asyncio.sleep(left_ms / _MILLISECONDS)

    async def reach(self, sender: str, receiver: str) -> bool:
        """
        Pass from one gateway to another; False where nothing answers.

        A cut shows as silence, for as long as it lasts.
        """
        await self.travel(receiver)
        if self.find_fault(receiver) == 'kill':
            return False
        for name in (sender, receiver):
            if self.find_fault(name) == 'cut':
                left_ms = self.faults[name].end_ms - get_monotonic_ms()
                await asyncio.sleep(left_ms / _MILLISECONDS)
                return False
        return True

    async def read_prompt(
        self,
        name: str,
        engine: str,
        terms: RequestParameters,
    ) -> None:
        """Return at the first event of an answer."""
        shared, own = terms.prompt_parts
        await self.travel(name)
        await self.engines[engine].read_prompt(
            shared.part,
            shared.tokens,
            own.tokens,
        )
        await self.travel(name)

    def close(self) -> None:
        """Stop generating."""
        for task in self._generating:
            task.cancel()

    def generate(self, engine: str, tokens: int) -> None:
        """Let an engine generate the rest of an answer."""
        task = asyncio.ensure_future(self.engines[engine].generate(tokens))
        self._generating.add(task)
        task.add_done_callback(self._generating.discard)
