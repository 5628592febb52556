"""Model a model engine."""

import asyncio
from collections import OrderedDict

from measure.fleet_model.load_sheet import EngineSheet

_MILLISECONDS = 1000


class EngineInstance:
    """
    Read prompts one after the other and generate for all at once.

    Parameters
    ----------
    sheet : EngineSheet
        How fast it is.
    """

    def __init__(self, *, sheet: EngineSheet) -> None:
        self.tokens_read_again = 0
        self._sheet = sheet
        self._reading = asyncio.Lock()
        self._running = 0
        self._cache: OrderedDict[str, int] = OrderedDict()

    async def read_prompt(self, part: str, shared: int, own: int) -> None:
        """
        Return at the first event.

        Parameters
        ----------
        part : str
            Shared part of the prompt.
        shared, own : int
            Tokens of it, and behind it.
        """
        tokens = own + self._read_shared(part, shared)
        async with self._reading:
            read_ms = tokens / self._sheet.prompt_tokens_per_ms
            steps_ms = self._running * self._sheet.step_ms_per_request
            await asyncio.sleep((read_ms + steps_ms) / _MILLISECONDS)
        await asyncio.sleep(self._sheet.first_ms / _MILLISECONDS)

    async def generate(self, tokens: int) -> None:
        """Return at the last event."""
        self._running += 1
        try:
            step_ms = (
                self._sheet.step_ms
                + self._sheet.step_ms_per_request * self._running
            )
            await asyncio.sleep(tokens * step_ms / _MILLISECONDS)
        finally:
            self._running -= 1

    def _read_shared(self, part: str, shared: int) -> int:
        """Return the shared tokens that are not cached, and cache them."""
        if part in self._cache:
            self._cache.move_to_end(part)
            return 0
        self._cache[part] = shared
        self.tokens_read_again += shared
        while sum(self._cache.values()) > self._sheet.cache_tokens:
            self._cache.popitem(last=False)
        return shared
