"""Simulate a model engine."""

import asyncio
from collections import OrderedDict

from measure.fleet_model.load_sheet import EngineSheet

_MILLISECONDS = 1000


class EngineInstance:
    """
    Read prompts sequentially and generate for all requests concurrently.

    Parameters
    ----------
    sheet : EngineSheet
        Speed and cache size of the engine.
    """

    def __init__(self, *, sheet: EngineSheet) -> None:
        self.uncached_shared_tokens = 0
        self._sheet = sheet
        self._prompt_lock = asyncio.Lock()
        self._running_requests = 0
        self._cache: OrderedDict[str, int] = OrderedDict()

    async def read_prompt(self, part: str, shared: int, own: int) -> None:
        """
        Read a prompt and return at the first event.

        Parameters
        ----------
        part : str
            Identifier of the shared part of the prompt.
        shared, own : int
            Tokens of the shared part and of the rest of the prompt.
        """
        tokens = own + self._read_shared(part, shared)
        async with self._prompt_lock:
            read_ms = tokens / self._sheet.prompt_tokens_per_ms
            steps_ms = self._running_requests * self._sheet.step_ms_per_request
            await asyncio.sleep((read_ms + steps_ms) / _MILLISECONDS)
        await asyncio.sleep(self._sheet.first_ms / _MILLISECONDS)

    async def generate(self, tokens: int) -> None:
        """Generate output tokens and return at the last event."""
        self._running_requests += 1
        try:
            step_ms = (
                self._sheet.step_ms
                + self._sheet.step_ms_per_request * self._running_requests
            )
            await asyncio.sleep(tokens * step_ms / _MILLISECONDS)
        finally:
            self._running_requests -= 1

    def _read_shared(self, part: str, shared: int) -> int:
        """Return the shared tokens that are not cached, and cache them."""
        if part in self._cache:
            self._cache.move_to_end(part)
            return 0
        self._cache[part] = shared
        self.uncached_shared_tokens += shared
        while sum(self._cache.values()) > self._sheet.cache_tokens:
            self._cache.popitem(last=False)
        return shared
