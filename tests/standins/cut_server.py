"""Serve raw connections."""

import asyncio
from contextlib import asynccontextmanager, suppress


@asynccontextmanager
async def serve(respond):
    """
    Serve connections with a function of reader and writer.

    Yields
    ------
    str
        URL of the server, without a slash at its end.
    """

    async def serve_connection(reader, writer):
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            await respond(reader, writer)
        writer.close()

    server = await asyncio.start_server(serve_connection, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield f'http://127.0.0.1:{port}'
    finally:
        server.close()
