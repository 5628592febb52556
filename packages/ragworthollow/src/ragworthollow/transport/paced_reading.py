"""Read a body without keeping the event loop from other work."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp

from ragworthollow.conf import global_settings


async def iterate_paced(body: aiohttp.StreamReader) -> AsyncIterator[bytes]:
    """
    Iterate over the chunks of a body, in parts of limited length.

    Reading chunks that have arrived already does not suspend. Without a pause,
    a peer that sends faster than its bytes are processed would keep all other
    tasks waiting until the end of its body.

    Parameters
    ----------
    body : StreamReader
        Body of a response.

    Yields
    ------
    bytes
        At most `STREAM_TURN_BYTES` of one chunk.

    Raises
    ------
    ClientError
        If the body is incomplete.
    """
    if body is aiohttp.EMPTY_PAYLOAD:
        # The library shares this reader among all empty bodies. Its iteration
        # over chunks ends only once in a process.
        return
    size = 0
    count = 0
    async for chunk, _ in body.iter_chunks():
        for start in range(0, len(chunk), global_settings.STREAM_TURN_BYTES):
            part = chunk[start : start + global_settings.STREAM_TURN_BYTES]
            yield part
            size += len(part)
            count += 1
            if (
                size >= global_settings.STREAM_TURN_BYTES
                or count >= global_settings.STREAM_TURN_CHUNKS
            ):
                await asyncio.sleep(0)
                size = 0
                count = 0
