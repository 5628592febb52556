"""Steps for responses that end with their connection."""

import asyncio
from contextlib import asynccontextmanager

import aiohttp
import msgspec
import uvloop
from behave import given, then, when

from ragworthollow.platform import InstanceEntry, InstanceList, InstancePoller
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

    async with _serve(respond) as url, make_peer_session() as session:
        try:
            async with session.get(url) as response:
                return await response.read()
        except aiohttp.ClientPayloadError:
            return None


@asynccontextmanager
async def _serve(respond):
    """Serve connections; yield the URL of the server."""
    server = await asyncio.start_server(respond, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield f'http://127.0.0.1:{port}/'
    finally:
        server.close()


@then('the session reports the response as {response:S}')
def check_response(context, response):
    expected = _BODY if response == 'complete' else None
    assert context.received == expected, context.received


@given('a list service that breaks off its first response')
def prepare_list_service(context):
    entry = InstanceEntry(
        instance='i-1',
        pool='pool',
        failure_domain='one',
        address='127.0.0.1:1',
    )
    listed = InstanceList(instances=(entry,))
    body = msgspec.json.encode(listed)
    context.bodies = [body[: len(body) // 2], body]


@when('the instance list is polled {count:d} times')
def poll_instances(context, count):
    context.instance_list = uvloop.run(_poll(context.bodies, count))


async def _poll(bodies, count) -> InstanceList:
    async def respond(reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        if b'If-None-Match: tag' in head:
            writer.write(b'HTTP/1.1 304 Not Modified\r\n\r\n')
        else:
            writer.write(b'HTTP/1.1 200 OK\r\nETag: tag\r\n\r\n')
            writer.write(bodies.pop(0))
        writer.close()

    async with (
        _serve(respond) as url,
        make_unauthenticated_session() as session,
    ):
        poller = InstancePoller(
            session=session, url=url, on_change=lambda _: None
        )
        for _ in range(count):
            await poller.poll()
    return poller.current


@then('the list has {count:d} instance')
def check_instance_count(context, count):
    assert len(context.instance_list.instances) == count
