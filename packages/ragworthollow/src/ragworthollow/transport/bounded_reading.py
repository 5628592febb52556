"""Read response bodies of limited length."""

import asyncio

import aiohttp


async def read_bounded(
    response: aiohttp.ClientResponse,
    max_bytes: int,
) -> bytes:
    """
    Read a body; close its connection if it is too long.

    The event loop gets a turn after each part, since a part may consist of
    many small chunks.

    Parameters
    ----------
    response : ClientResponse
        Open response.
    max_bytes : int
        Maximum length of the body in bytes.

    Raises
    ------
    ClientPayloadError
        If the body is longer, or incomplete.
    """
    chunks: list[bytes] = []
    size = 0
    async for chunk in response.content.iter_any():
        if chunks:
            await asyncio.sleep(0)
        size += len(chunk)
        if size > max_bytes:
            response.close()
            raise aiohttp.ClientPayloadError(
                f'the body is longer than {max_bytes} bytes'
            )
        chunks.append(chunk)
    return b''.join(chunks)
