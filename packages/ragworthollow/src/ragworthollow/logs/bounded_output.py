"""Write log lines without ever waiting for whoever reads them."""

import os

from ragworthollow.conf import global_settings
from ragworthollow.utils.clock import get_monotonic_ms

_MILLISECONDS = 1000
_LINE_END = b'\n'


class BoundedOutput:
    """
    Write lines to a descriptor, a bounded number of them a second.

    A reader that is slow or gone would block a process that writes to a full
    pipe, and every request with it.  So the descriptor does not block: lines
    that it does not take wait in a bounded buffer, and what is over the rate
    or the buffer is left out and counted.

    Parameters
    ----------
    descriptor : int
        Where to write.
    lines_per_s : float
        Most lines a second, over a burst of as many.
    """

    def __init__(
        self,
        *,
        descriptor: int,
        lines_per_s: float = global_settings.LOG_LINES_PER_S,
    ) -> None:
        self._descriptor = descriptor
        self._rate = lines_per_s
        self._tokens = lines_per_s
        self._refilled_ms = get_monotonic_ms()
        self._waiting = b''
        self._left_out = 0
        os.set_blocking(descriptor, False)

    def admit(self, now_ms: float) -> bool:
        """Tell whether one more line is within the rate, and count it."""
        elapsed_ms = now_ms - self._refilled_ms
        self._refilled_ms = now_ms
        gained = elapsed_ms * self._rate / _MILLISECONDS
        self._tokens = min(self._rate, self._tokens + gained)
        if self._tokens < 1:
            self._left_out += 1
            return False
        self._tokens -= 1
        return True

    def take_left_out(self) -> int:
        """Return how many lines were left out since the last call."""
        left_out = self._left_out
        self._left_out = 0
        return left_out

    def write(self, line: bytes) -> None:
        """Write one line, or what the descriptor takes of it now."""
        room = global_settings.LOG_BUFFER_BYTES - len(self._waiting)
        if len(line) >= room:
            self._left_out += 1
        else:
            self._waiting += line + _LINE_END
        self.flush()

    def flush(self) -> None:
        """Write what waits, as far as the descriptor takes it."""
        if not self._waiting:
            return
        try:
            written = os.write(self._descriptor, self._waiting)
        except BlockingIOError:
            return
        except OSError:
            # Nobody will ever read this; there is nowhere left to say so.
            self._waiting = b''
            return
        self._waiting = self._waiting[written:]
