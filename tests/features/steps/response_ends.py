"""Steps for responses that end with their connection."""

import asyncio

import aiohttp
import uvloop
from behave import given, then, when

from ragworthollow.transport.checked_connector import make_upstream_session
from ragworthollow.transport.session import (
    make_session,
    make_unauthenticated_session,
)
from tests.standins.partial_streams import reset_when_read

_RUNNERS = {'uvloop': uvloop.run, 'asyncio': asyncio.run}
_SESSION_FACTORIES = {
    'upstreams': make_upstream_session,
    'other daemons': lambda: make_session('cluster-key-of-a-test'),
    'the platform': make_unauthenticated_session,
}
_HEAD = b'HTTP/1.1 200 OK\r\n\r\n'
_BODY = b'{"items": []}'


@given(
    'a peer that sends a response without a length, after which its connection '
    'is {end:S}'
)
def choose_end(context, end):
    context.is_reset = end == 'reset'


@when('a session of {peers} reads it on {loop:S}')
def read_response(context, peers, loop):
    context.received = _RUNNERS[loop](
        _read_from_peer(_SESSION_FACTORIES[peers], is_reset=context.is_reset)
    )


async def _read_from_peer(make_peer_session, *, is_reset: bool) -> bytes | None:
    """Return the body, or None if the session reported it as incomplete."""

    async def respond(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(_HEAD + _BODY)
        await writer.drain()
        if is_reset:
            await reset_when_read(writer)
        else:
            writer.close()

    server = await asyncio.start_server(respond, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    session = make_peer_session()
    try:
        async with session.get(f'http://127.0.0.1:{port}/') as response:
            return await response.read()
    except aiohttp.ClientPayloadError:
        return None
    finally:
        await session.close()
        server.close()


@then('the session reports the response as {response:S}')
def check_response(context, response):
    expected = _BODY if response == 'complete' else None
    assert context.received == expected, context.received
