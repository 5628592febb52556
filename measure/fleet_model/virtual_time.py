"""Run coroutines in virtual time: waits are instantaneous and exact."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import TypeVar

Found = TypeVar('Found')
_MILLISECONDS = 1000


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Advance virtual time to the next timer instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s: float = 0

    def select(self, timeout=None):
        if timeout:
            self.now_s += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock jumps from timer to timer."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now_s

    def get_ms(self) -> float:
        """Return the virtual time in milliseconds."""
        return self._virtual_selector.now_s * _MILLISECONDS


def run_virtually(coroutine: Coroutine[None, None, Found]) -> Found:
    """Run a coroutine to completion on a new virtual-time loop."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()
