"""Write log lines without blocking on a slow reader."""

import os

from ragworthollow.conf import global_settings
from ragworthollow.utils.clock import get_monotonic_ms

_MILLISECONDS = 1000
_LINE_END = b'\n'


class BoundedOutput:
    """
    Write lines to a file descriptor at a limited rate.

    A full pipe, whose reader is slow or has terminated, would block the
    writing process and all its requests.  The descriptor is therefore
    non-blocking: lines that it does not accept stay in a bounded buffer, and
    lines that exceed the rate or the buffer are dropped and counted.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is made non-blocking.
    lines_per_s : float
        Maximum sustained rate in lines per second, and the largest burst in
        lines.
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
        self._buffer = b''
        self._dropped_lines = 0
        os.set_blocking(descriptor, False)

    def admit(self, now_ms: float) -> bool:
        """Return whether the rate allows one more line, and count it."""
        elapsed_ms = now_ms - self._refilled_ms
        self._refilled_ms = now_ms
        added_tokens = elapsed_ms * self._rate / _MILLISECONDS
        self._tokens = min(self._rate, self._tokens + added_tokens)
        if self._tokens < 1:
            self._dropped_lines += 1
            return False
        self._tokens -= 1
        return True

    def pop_dropped_lines(self) -> int:
        """Return and reset the number of dropped lines."""
        dropped_lines = self._dropped_lines
        self._dropped_lines = 0
        return dropped_lines

    def write(self, line: bytes) -> None:
        """Buffer one line and flush; drop the line if the buffer is full."""
        free_bytes = global_settings.LOG_BUFFER_BYTES - len(self._buffer)
        if len(line) >= free_bytes:
            self._dropped_lines += 1
        else:
            self._buffer += line + _LINE_END
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts."""
        if not self._buffer:
            return
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader has terminated, and this error cannot be logged either.
            self._buffer = b''
            return
        self._buffer = self._buffer[written:]
