"""Find the end of a request head before it is parsed."""

import re

from ragworthollow.transport.request_error import make_head_size_error

_EMPTY_LINES = re.compile(rb'[\r\n]*')
_HEAD_END = re.compile(rb'\n\r?\n')
# What precedes the last byte of the end.
_OVERLAP_BYTES = 2


class HeadScanner:
    """
    Count the bytes of one request head as they arrive.

    Empty lines before a request belong to its head: they may otherwise come
    without end.

    Attributes
    ----------
    size_bytes : int
        Bytes of the head that have been scanned.
    line_count : int
        Lines of the head that have been scanned.
    """

    def __init__(self) -> None:
        self.size_bytes = 0
        self.line_count = 0
        self.is_complete = False
        self._has_request_line = False
        self._last_bytes = b''

    def has_begun(self) -> bool:
        """Return whether a part of the head has arrived."""
        return self.size_bytes > 0

    def scan(self, received: bytes, limit_bytes: int) -> int:
        """
        Scan bytes that follow those scanned before.

        Parameters
        ----------
        received : bytes
            Bytes of the connection, not empty.
        limit_bytes : int
            Maximum size of a head.

        Returns
        -------
        int
            Number of these bytes that belong to the head.

        Raises
        ------
        RequestError
            If the head is over the limit.
        """
        room = limit_bytes - self.size_bytes
        window = received[: room + 1]
        head_bytes = self._find_end(window)
        self.is_complete = head_bytes is not None
        if head_bytes is None:
            head_bytes = len(window)
        if head_bytes > room:
            raise make_head_size_error()
        self.size_bytes += head_bytes
        self.line_count += window.count(b'\n', 0, head_bytes)
        return head_bytes

    def _find_end(self, window: bytes) -> int | None:
        """Return how many bytes belong to the head if it ends there."""
        start = 0
        if not self._has_request_line:
            start = _EMPTY_LINES.match(window).end()
            if start == len(window):
                return None
            self._has_request_line = True
        before = self._last_bytes
        text = before + window[start:]
        end = _HEAD_END.search(text)
        if end is not None:
            return start + end.end() - len(before)
        self._last_bytes = text[-_OVERLAP_BYTES:]
        return None
