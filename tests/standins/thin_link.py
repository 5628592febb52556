"""Send a response at the rate of a low-bandwidth link."""

import asyncio
from collections.abc import Callable

from aiohttp import web

BYTES_PER_MBIT = 125_000
# Interval between the writes of a response.
_SEND_INTERVAL_S = 0.02


async def send_slowly(
    request: web.Request,
    response: web.Response,
    bytes_per_s: float,
    record_sent: Callable[[int], None] | None = None,
) -> web.StreamResponse:
    """Send a body at a rate; at rate 0, send half of it and then stall."""
    body = response.body or b''
    limited = web.StreamResponse(
        status=response.status,
        headers={'Content-Type': 'application/json'},
    )
    limited.content_length = len(body)
    await limited.prepare(request)
    if not bytes_per_s:
        await limited.write(body[: len(body) // 2])
        await asyncio.Event().wait()
    size = int(bytes_per_s * _SEND_INTERVAL_S)
    for begin in range(0, len(body), size):
        chunk = body[begin : begin + size]
        await limited.write(chunk)
        if record_sent:
            record_sent(len(chunk))
        await asyncio.sleep(_SEND_INTERVAL_S)
    return limited
