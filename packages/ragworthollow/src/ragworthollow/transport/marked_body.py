"""Know whether a request body was handed to the socket."""

from aiohttp.abc import AbstractStreamWriter
from aiohttp.payload import BytesPayload


class MarkedBody(BytesPayload):
    """
    Send bytes and note that sending has begun.

    A connection that breaks before is provably without effect, whatever the
    error is called; afterwards the call may have run.

    Parameters
    ----------
    body : bytes
        JSON.
    """

    def __init__(self, body: bytes) -> None:
        super().__init__(body, content_type='application/json')
        self.started = False

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Send the whole body."""
        self.started = True
        await super().write(writer)

    async def write_with_length(
        self,
        writer: AbstractStreamWriter,
        content_length: int | None,
    ) -> None:
        """Send the body up to a length."""
        self.started = True
        await super().write_with_length(writer, content_length)
