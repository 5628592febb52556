"""Stand in for an engine with few slots, a short queue and faults."""

import asyncio
import random
from collections import Counter

from tests.standins.engine_fault import EngineFault
from tests.standins.repeating_writer import RepeatingWriter
from tests.standins.upstream import (
    UpstreamStandin,
    write_rejection,
    write_stream_head,
)

_NOT_EXECUTED = (b'HTTP/1.1 503 ', b'HTTP/1.1 421 ')
_IDLE_MAX_S = 0.1
_ENDLESS_STEP_S = 0.02
_ENDLESS_FIELD = b'X-Filler: and so on\r\n'
# A line of an event that does not end.
_ENDLESS_CHUNK = b'10\r\ndata: and so on\n\r\n'
_FAULTS_OF_RUNS = (
    EngineFault.hang,
    EngineFault.reset,
    EngineFault.endless_head,
    EngineFault.endless_body,
)


class LimitedEngine(UpstreamStandin):
    """
    Reject requests beyond the slots and the queue; answer some with a fault.

    Parameters
    ----------
    name : str
        Name of the instance.
    rng : Random
        Chooses the requests with a fault.
    slots : int
        Number of requests that run at the same time.
    queue : int
        Number of requests that wait for a slot.

    Attributes
    ----------
    fault_ratios : dict
        Share of requests with each fault that is present now.
    counts : Counter
        Number of rejections and of faults.
    faulty_requests : set of str
        Requests whose responses had a fault.
    """

    def __init__(
        self, name: str, *, rng: random.Random, slots: int, queue: int
    ) -> None:
        super().__init__(name)
        self.fault_ratios: dict[EngineFault, float] = {}
        self.counts: Counter[str] = Counter()
        self.faulty_requests: set[str] = set()
        self._rng = rng
        self._slots = slots
        self._queue = queue
        self._running = 0
        self._waiting = 0
        self._slot_freed = asyncio.Condition()

    def is_idle(self) -> bool:
        """Return whether all connections are closed, so that nothing runs."""
        return not self._open_writers

    def record_run(self, request) -> dict[str, str]:
        return {**super().record_run(request), **self._describe_load()}

    async def _serve(self, reader, writer) -> None:
        await super()._serve(reader, RepeatingWriter(writer=writer))

    async def _receive(self, request, reader, writer) -> bool:
        last = writer.begin_response()
        self._repeat(request, last, writer)
        is_open = await self._admit(request, reader, writer)
        writer.end_response()
        if is_open and self._has_fault(EngineFault.idle_answer):
            asyncio.get_running_loop().call_later(
                self._rng.uniform(0, _IDLE_MAX_S), writer.repeat_if_idle
            )
        return is_open

    def _repeat(self, request, last: bytes, writer) -> None:
        kind = EngineFault.second_answer
        if last.startswith(_NOT_EXECUTED):
            kind = EngineFault.second_rejection
        if last and self._has_fault(kind):
            self.faulty_requests.add(request.request_id)
            writer.repeat(last)

    async def _admit(self, request, reader, writer) -> bool:
        if self.is_misdirected(request):
            return await self._answer(request, reader, writer)
        if self._running >= self._slots and self._waiting >= self._queue:
            self.counts['rejected'] += 1
            write_rejection(writer, request, self._describe_load())
            return True
        self._waiting += 1
        async with self._slot_freed:
            await self._slot_freed.wait_for(lambda: self._running < self._slots)
        self._waiting -= 1
        self._running += 1
        try:
            return await self._run(request, reader, writer)
        finally:
            self._running -= 1
            async with self._slot_freed:
                self._slot_freed.notify()

    async def _run(self, request, reader, writer) -> bool:
        fault = next(filter(self._has_fault, _FAULTS_OF_RUNS), None)
        if fault is None:
            return await self._answer(request, reader, writer)
        self.faulty_requests.add(request.request_id)
        headers = self.record_run(request)
        if fault is EngineFault.reset:
            writer.transport.abort()
        elif fault is EngineFault.hang:
            await reader.read(1)
        elif fault is EngineFault.endless_head:
            writer.write(b'HTTP/1.1 200 OK\r\n')
            await _write_endlessly(reader, writer, _ENDLESS_FIELD)
        else:
            write_stream_head(writer, headers)
            await _write_endlessly(reader, writer, _ENDLESS_CHUNK)
        return False

    def _describe_load(self) -> dict[str, str]:
        load = f'{self._running},{self._waiting},{self._slots}'
        return {'X-Ragworthollow-Server-Load': load}

    def _has_fault(self, fault: EngineFault) -> bool:
        has_fault = self._rng.random() < self.fault_ratios.get(fault, 0)
        if has_fault:
            self.counts[fault] += 1
        return has_fault


async def _write_endlessly(reader, writer, part: bytes) -> None:
    """Write parts without end until the caller closes."""
    while not reader.at_eof():
        writer.write(part)
        await writer.drain()
        await asyncio.sleep(_ENDLESS_STEP_S)
