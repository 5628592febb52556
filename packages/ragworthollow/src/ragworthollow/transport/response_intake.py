"""Find and check the heads among the bytes of a connection."""

import re
from collections.abc import Callable

from ragworthollow.conf import global_settings
from ragworthollow.transport.body_framing import BodyFraming
from ragworthollow.transport.chunk_decoder import ChunkDecoder
from ragworthollow.transport.malformed_response_error import (
    MalformedResponseError,
)
from ragworthollow.transport.request_error import RequestError
from ragworthollow.transport.response_head import (
    ResponseHead,
    read_response_head,
)

_HEAD_END = re.compile(rb'\n\r?\n')
# What precedes the last byte of the end.
_OVERLAP_BYTES = 2


class ResponseIntake:
    """
    Check the heads of the responses to one request before they are parsed.

    Bytes are checked here before the parser of the library gets them.  It
    reports a response only once its head is complete, so that it reports none
    that has not been checked.

    Parameters
    ----------
    is_followed : callable
        Returns whether another response is expected behind a head and its body.
    has_bodies : bool
        Whether the parser expects bodies; there are none in response to HEAD.

    Attributes
    ----------
    head_count : int
        Number of heads that have been checked.
    """

    def __init__(
        self,
        *,
        is_followed: Callable[[ResponseHead], bool],
        has_bodies: bool,
    ) -> None:
        self._is_followed = is_followed
        self._has_bodies = has_bodies
        self._head = bytearray()
        self._decoder: ChunkDecoder | None = None
        self._body_bytes_left = 0
        self._is_done = False
        self.head_count = 0

    def check(self, received: bytes) -> None:
        """
        Check bytes that follow those checked before.

        Parameters
        ----------
        received : bytes
            Bytes of the connection.

        Raises
        ------
        MalformedResponseError
            If they end a head that is malformed.
        """
        position = 0
        while position < len(received) and not self._is_done:
            if self._decoder is not None:
                position += self._skip_chunks(received[position:])
            elif self._body_bytes_left:
                size = min(self._body_bytes_left, len(received) - position)
                self._body_bytes_left -= size
                position += size
            else:
                position = self._collect_head(received, position)

    def _collect_head(self, received: bytes, start: int) -> int:
        """Add bytes to the head; return the position after them."""
        searched_bytes = max(0, len(self._head) - _OVERLAP_BYTES)
        collected_bytes = len(self._head)
        self._head += received[start:]
        end = _HEAD_END.search(self._head, searched_bytes)
        if end is None:
            return len(received)
        head = read_response_head(bytes(self._head[: end.end()]))
        self._head.clear()
        self.head_count += 1
        self._begin_body(head)
        return start + end.end() - collected_bytes

    def _begin_body(self, head: ResponseHead) -> None:
        if not self._is_followed(head):
            self._is_done = True
            return
        if head.has_no_body() or not self._has_bodies:
            return
        if head.framing is BodyFraming.chunked:
            self._decoder = ChunkDecoder(
                trailer_limit_bytes=global_settings.MAX_RESPONSE_HEAD_BYTES
            )
        elif head.framing is BodyFraming.length:
            self._body_bytes_left = head.length
        else:
            # Nothing can follow.
            self._is_done = True

    def _skip_chunks(self, received: bytes) -> int:
        """Return how many of the bytes belong to a body in chunks."""
        position = 0
        try:
            while position < len(received) and not self._decoder.is_complete():
                _, size = self._decoder.decode(received[position:])
                position += size
        except RequestError as error:
            raise MalformedResponseError(
                f'malformed chunks: {error.reason}'
            ) from error
        if self._decoder.is_complete():
            self._decoder = None
        return position
