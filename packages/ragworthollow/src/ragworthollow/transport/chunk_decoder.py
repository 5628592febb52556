"""Decode a request body that is sent in chunks."""

import enum
import re

from ragworthollow.conf import global_settings
from ragworthollow.transport.request_error import (
    make_head_size_error,
    make_malformed_error,
)

_LINE_END = b'\r\n'
# The size, and extensions, which are ignored.
_CHUNK_LINE = re.compile(
    rb'([0-9A-Fa-f]{1,16})(?:[ \t]*;[^\x00-\x08\n-\x1f]*)?'
)


class _Step(enum.Enum):
    size = enum.auto()
    chunk = enum.auto()
    chunk_end = enum.auto()
    trailer = enum.auto()
    complete = enum.auto()


class ChunkDecoder:
    """
    Decode the chunks of one body within bounds, as their bytes arrive.

    Trailers are dropped: the parser of the library would take the last one for
    a field of the next request on the connection.

    Parameters
    ----------
    trailer_limit_bytes : int
        Maximum size of the trailers.
    """

    def __init__(self, *, trailer_limit_bytes: int) -> None:
        self._trailer_bytes_left = trailer_limit_bytes
        self._step = _Step.size
        self._content_left = 0
        # Chunks that may still begin in this turn.
        self._chunks_left = 0
        # Beginning of a line whose end has not arrived.
        self._line = b''

    def is_complete(self) -> bool:
        """Return whether the end of the body has arrived."""
        return self._step is _Step.complete

    def decode(self, received: bytes) -> tuple[bytes, int]:
        """
        Decode bytes that follow those decoded before, or some of them.

        Parameters
        ----------
        received : bytes
            Bytes of the connection.

        Returns
        -------
        tuple of bytes and int
            Content of the body, and the number of bytes that belong to it.

        Raises
        ------
        RequestError
            If these are no chunks, or their lines or trailers are too long.
        """
        parts: list[bytes] = []
        position = 0
        self._chunks_left = global_settings.REQUEST_TURN_CHUNKS
        while position < len(received) and not self._is_turn_over():
            if self._step is _Step.chunk:
                part = received[position : position + self._content_left]
                parts.append(part)
                position += len(part)
                self._content_left -= len(part)
                if not self._content_left:
                    self._step = _Step.chunk_end
            else:
                position = self._read_line(received, position)
        return b''.join(parts), position

    def has_used_turn(self) -> bool:
        """Return whether more could have been decoded of the last bytes."""
        return not self._chunks_left

    def _is_turn_over(self) -> bool:
        return self.is_complete() or not self._chunks_left

    def _read_line(self, received: bytes, start: int) -> int:
        """Read up to the end of a line; return the position after it."""
        end = received.find(b'\n', start) + 1
        if not end:
            self._line += received[start:]
            self._check_length()
            return len(received)
        line = self._line + received[start:end]
        self._line = line
        self._check_length()
        self._line = b''
        if not line.endswith(_LINE_END):
            raise make_malformed_error('chunk_line_end')
        self._process_line(line[: -len(_LINE_END)])
        return end

    def _check_length(self) -> None:
        size = len(self._line)
        if self._step is _Step.trailer:
            if size > self._trailer_bytes_left:
                raise make_head_size_error()
        elif size > global_settings.MAX_CHUNK_LINE_BYTES:
            raise make_malformed_error('chunk_line_too_long')

    def _process_line(self, line: bytes) -> None:
        if self._step is _Step.size:
            self._begin_chunk(line)
        elif self._step is _Step.chunk_end:
            if line:
                raise make_malformed_error('chunk_end')
            self._step = _Step.size
        elif line:
            self._trailer_bytes_left -= len(line) + len(_LINE_END)
        else:
            self._step = _Step.complete

    def _begin_chunk(self, line: bytes) -> None:
        match = _CHUNK_LINE.fullmatch(line)
        if match is None:
            raise make_malformed_error('chunk_size')
        self._chunks_left -= 1
        self._content_left = int(match.group(1), 16)
        self._step = _Step.chunk if self._content_left else _Step.trailer
