"""Send a whole response in parts."""

from aiohttp import web

from ragworthollow.conf import global_settings


class PacedResponse(web.Response):
    """
    Send a body no faster than its client reads it.

    The transport would keep a body that is written at once in memory until
    its last byte has been sent.
    """

    async def write_eof(self, data: bytes = b'') -> None:  # noqa: WPS110
        """Write the body in parts, then end the response."""
        body = self.body
        part_bytes = global_settings.RESPONSE_PART_BYTES
        is_long = isinstance(body, bytes) and len(body) > part_bytes
        if is_long and not self._must_be_empty_body:
            self.body = None
            for start in range(0, len(body), part_bytes):
                await self.write(body[start : start + part_bytes])
        await super().write_eof(data)
