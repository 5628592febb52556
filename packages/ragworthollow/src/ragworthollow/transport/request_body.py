"""Find the end of a request body before it is parsed."""

from aiohttp.http_parser import RawRequestMessage

from ragworthollow.transport.chunk_decoder import ChunkDecoder

_LAST_CHUNK = b'0\r\n\r\n'


class RequestBody:
    """
    Divide the bytes of a connection into a body and what follows it.

    Parameters
    ----------
    message : RawRequestMessage
        Parsed head of the request.
    trailer_limit_bytes : int
        Maximum size of the trailers behind a body in chunks.
    """

    def __init__(
        self,
        *,
        message: RawRequestMessage,
        trailer_limit_bytes: int,
    ) -> None:
        self._decoder: ChunkDecoder | None = None
        self._bytes_left = 0
        if message.chunked:
            self._decoder = ChunkDecoder(
                trailer_limit_bytes=trailer_limit_bytes
            )
        else:
            self._bytes_left = int(message.headers.get('Content-Length', '0'))

    def is_complete(self) -> bool:
        """Return whether the end of the body has arrived."""
        if self._decoder is not None:
            return self._decoder.is_complete()
        return not self._bytes_left

    def may_be_costly(self) -> bool:
        """Return whether the body may consist of tiny chunks."""
        return self._decoder is not None

    def has_used_turn(self) -> bool:
        """Return whether the last bytes were costly, so that others wait."""
        return self._decoder is not None and self._decoder.has_used_turn()

    def read(self, received: bytes) -> tuple[bytes, int]:
        """
        Read bytes that follow those read before.

        Parameters
        ----------
        received : bytes
            Bytes of the connection.

        Returns
        -------
        tuple of bytes and int
            What the parser is to get, and the number of bytes of the body.

        Raises
        ------
        RequestError
            If the body cannot be divided into chunks.
        """
        if self._decoder is None:
            part = received[: self._bytes_left]
            self._bytes_left -= len(part)
            return part, len(part)
        body_part, size = self._decoder.decode(received)
        # Many small chunks become one.
        part = (
            b'%x\r\n%b\r\n' % (len(body_part), body_part) if body_part else b''
        )
        if self._decoder.is_complete():
            part += _LAST_CHUNK
        return part, size
