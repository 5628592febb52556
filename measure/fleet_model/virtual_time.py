"""Run coroutines in virtual time: a wait takes no time and is exact."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import TypeVar

Found = TypeVar('Found')
_MILLISECONDS = 1000


class _SkippingSelector(selectors.DefaultSelector):
    """Let time jump to the next timer instead of waiting for it."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s: float = 0

    def select(self, timeout=None):
        if timeout:
            self.now_s += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Be an event loop whose clock jumps from timer to timer."""

    def __init__(self) -> None:
        self._skipping = _SkippingSelector()
        super().__init__(self._skipping)

    def time(self) -> float:
        """Return virtual seconds."""
        return self._skipping.now_s

    def get_ms(self) -> float:
        """Return virtual milliseconds."""
        return self._skipping.now_s * _MILLISECONDS


def run_virtually(coroutine: Coroutine[None, None, Found]) -> Found:
    """Run a coroutine to its end on a loop of its own."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()
