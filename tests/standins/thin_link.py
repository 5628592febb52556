"""Send an answer as slowly as a thin link carries it."""

import asyncio
from collections.abc import Callable

from aiohttp import web

BYTES_PER_MBIT = 125_000
# How often a thin link takes some bytes.
_SENDING_S = 0.02


async def send_slowly(
    request: web.Request,
    response: web.Response,
    bytes_per_s: float,
    note_sent: Callable[[int], None] | None = None,
) -> web.StreamResponse:
    """Send at a rate; without one, half of the body and no end."""
    body = response.body or b''
    slow = web.StreamResponse(
        status=response.status,
        headers={'Content-Type': 'application/json'},
    )
    slow.content_length = len(body)
    await slow.prepare(request)
    if not bytes_per_s:
        await slow.write(body[: len(body) // 2])
        await asyncio.Event().wait()
    size = int(bytes_per_s * _SENDING_S)
    for begin in range(0, len(body), size):
        piece = body[begin : begin + size]
        await slow.write(piece)
        if note_sent:
            note_sent(len(piece))
        await asyncio.sleep(_SENDING_S)
    return slow
