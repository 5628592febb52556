"""Track whether the sending of a request body has begun."""

from aiohttp.abc import AbstractStreamWriter
from aiohttp.payload import BytesPayload


class TrackedBody(BytesPayload):
    """
    Send a request body and record that sending has begun.

    If the connection breaks before that, the call provably had no effect,
    whatever the error type; afterwards the call may have run.

    Parameters
    ----------
    body : bytes
        Body as JSON.
    """

    def __init__(self, body: bytes) -> None:
        super().__init__(body, content_type='application/json')
        self.started = False

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Send the complete body."""
        self.started = True
        await super().write(writer)

    async def write_with_length(
        self,
        writer: AbstractStreamWriter,
        content_length: int | None,
    ) -> None:
        """Send the body up to the given length."""
        self.started = True
        await super().write_with_length(writer, content_length)
