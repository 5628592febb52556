"""Read response bodies of limited length."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp

from ragworthollow.conf import global_settings
from ragworthollow.transport.answer_memory import AnswerReading
from ragworthollow.transport.paced_reading import iterate_paced
from ragworthollow.transport.response_protocol import ResponseProtocol

_LINE_FEED = b'\n'


def exceeds_wire_limit(
    response: aiohttp.ClientResponse,
    max_bytes: float,
) -> bool:
    """
    Return whether a body takes too many bytes on the wire for its length.

    Reading chunks of one byte each up to the maximum length of a body takes
    seconds of processor time.

    Parameters
    ----------
    response : ClientResponse
        Open response.
    max_bytes : float
        Maximum length of the body in bytes.
    """
    connection = response.connection
    protocol = None if connection is None else connection.protocol
    if not isinstance(protocol, ResponseProtocol):
        return False
    return protocol.wire_bytes > max_bytes * global_settings.WIRE_BYTES_RATIO


async def read_bounded(
    response: aiohttp.ClientResponse,
    max_bytes: int,
    reading: AnswerReading | None = None,
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
    reading : AnswerReading, optional
        Reserves the memory of the body.

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
        if size > max_bytes or exceeds_wire_limit(response, max_bytes):
            response.close()
            raise aiohttp.ClientPayloadError(
                f'the body is longer than {max_bytes} bytes, or in tiny chunks'
            )
        if reading is not None:
            await reading.add(len(chunk))
        chunks.append(chunk)
    return b''.join(chunks)


async def iterate_lines(
    body: aiohttp.StreamReader,
    max_line_bytes: int = global_settings.MAX_LINE_BYTES,
) -> AsyncIterator[bytes]:
    """
    Iterate over the lines of a body, with their line feeds.

    Each byte is processed once, however the body is cut, and other work gets
    its turn.

    Parameters
    ----------
    body : StreamReader
        Body of a response.
    max_line_bytes : int
        Maximum length of a line in bytes.

    Raises
    ------
    ClientPayloadError
        If a line is longer, or the body is incomplete.
    """
    incomplete = bytearray()
    async for part in iterate_paced(body):
        *lines, rest = part.split(_LINE_FEED)
        for line in lines:
            yield bytes(incomplete) + line + _LINE_FEED
            incomplete.clear()
        incomplete += rest
        if len(incomplete) > max_line_bytes:
            raise aiohttp.ClientPayloadError('a line is too long')
    if incomplete:
        yield bytes(incomplete)
