"""Write to a connection of an upstream, and write responses once more."""

import asyncio


class RepeatingWriter:
    """
    Keep the last response on a connection, to send it a second time.

    Parameters
    ----------
    writer : StreamWriter
        Where everything is written.
    """

    def __init__(self, *, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        self._response = b''
        self._is_idle = True

    def __getattr__(self, name: str):
        return getattr(self._writer, name)

    def write(self, chunk: bytes) -> None:
        self._response += chunk
        self._writer.write(chunk)

    def begin_response(self) -> bytes:
        """Forget the last response, and return it."""
        last, self._response = self._response, b''
        self._is_idle = False
        return last

    def end_response(self) -> None:
        self._is_idle = True

    def repeat(self, response: bytes) -> None:
        """Write a response of before; it is not kept again."""
        self._writer.write(response)

    def repeat_if_idle(self) -> None:
        """Write the last response again, unless a request has come since."""
        if self._is_idle and not self._writer.is_closing():
            self._writer.write(self._response)
