"""Simulate the network of gateways, stage instances and engines."""

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
    Deliver messages between processes and apply gateway faults.

    Parameters
    ----------
    sheet : LoadSheet
        Network latencies.
    """

    def __init__(self, *, sheet: LoadSheet) -> None:
        self.sheet = sheet
        self.stages: dict[str, StageInstance] = {}
        self.engines: dict[str, EngineInstance] = {}
        self.gateways: dict[str, ModelGateway] = {}
        self.faults: dict[str, GatewayFault] = {}
        self._generating: set[asyncio.Task[None]] = set()

    def get_active_fault(self, name: str) -> str:
        """Return the kind of the current fault of a gateway; empty if none."""
        fault = self.faults.get(name)
        now_ms = get_monotonic_ms()
        if fault is None or not fault.start_ms <= now_ms < fault.end_ms:
            return ''
        return fault.kind

    async def transmit(self, name: str) -> None:
        """Wait for the one-way latency and until the receiver is not frozen."""
        await asyncio.sleep(self.sheet.one_way_ms / _MILLISECONDS)
        await self.wait_until_running(name)

    async def wait_until_running(self, name: str) -> None:
        """Wait until a process is not frozen."""
        fault = self.faults.get(name)
        if fault is not None and self.get_active_fault(name) == 'freeze':
            remaining_ms = fault.end_ms - get_monotonic_ms()
            await asyncio.sleep(remaining_ms / _MILLISECONDS)

    async def try_deliver(self, sender: str, receiver: str) -> bool:
        """
        Deliver a message between gateways; return False if unreachable.

        While a gateway is cut off, a message gets no response until the fault
        ends.
        """
        await self.transmit(receiver)
        if self.get_active_fault(receiver) == 'kill':
            return False
        for name in (sender, receiver):
            if self.get_active_fault(name) == 'cut':
                remaining_ms = self.faults[name].end_ms - get_monotonic_ms()
                await asyncio.sleep(remaining_ms / _MILLISECONDS)
                return False
        return True

    async def read_prompt(
        self,
        name: str,
        engine: str,
        parameters: RequestParameters,
    ) -> None:
        """Let an engine read a prompt; return at the first event."""
        shared, own = parameters.prompt_parts
        await self.transmit(name)
        await self.engines[engine].read_prompt(
            shared.part,
            shared.tokens,
            own.tokens,
        )
        await self.transmit(name)

    def close(self) -> None:
        """Cancel all generation tasks."""
        for task in self._generating:
            task.cancel()

    def generate(self, engine: str, tokens: int) -> None:
        """Let an engine generate the rest of a response in the background."""
        task = asyncio.ensure_future(self.engines[engine].generate(tokens))
        self._generating.add(task)
        task.add_done_callback(self._generating.discard)
