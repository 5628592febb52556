"""Steps for responses without end."""

import asyncio
from types import SimpleNamespace

import aiohttp
import uvloop
from behave import given, then, when
from result import Err, Ok

from ragworthollow.conf import global_settings
from ragworthollow.platform.store_transport import StoreTransport
from ragworthollow.transport.bounded_reading import read_bounded
from ragworthollow.transport.checked_connector import make_upstream_session
from ragworthollow.transport.session import make_unauthenticated_session
from ragworthollow.transport.timeouts import make_timeout
from tests.standins.endless import send_endlessly

# What callers allow beyond the time that they state.
_CALLER_LIMIT_S = 5
_TIMEOUT_MS = 500
# What the buffers of the two processes and the kernel may hold.
_BUFFERED_BYTES = 32_000_000
_NO_ANSWERS = frozenset((200, 500))
_POLLS = 200
_BUFFER_BYTES = global_settings.UPSTREAM_READ_BUFFER_BYTES


@when(
    '{count:d} callers post to {path:S} beside one with {limit_ms:d} ms to '
    '{endless_path:S}'
)
def send_beside(context, count, path, limit_ms, endless_path):
    stage = context.gateway_stage

    async def send_all():
        async with asyncio.timeout(_CALLER_LIMIT_S):
            context.endless_response, *context.responses = await asyncio.gather(
                stage.send(endless_path, limit_ms=limit_ms),
                *(stage.send(path) for _ in range(count)),
            )

    stage.run(send_all())


@then('the one got no success, an answer in time and no error of the gateway')
def check_endless(context):
    response = context.endless_response
    is_failure = response.status not in _NO_ANSWERS
    # The upstream's own complete response, or a part that is marked as such.
    is_sound = response.body == b'ok' or not response.is_whole
    assert is_failure or is_sound, response


@then("the upstreams' connections without end are closed")
def check_closed(context):
    stage = context.gateway_stage
    upstreams = stage.upstreams.values()
    stage.run(
        stage.wait_for(
            lambda: not any(upstream.endless.open for upstream in upstreams)
        )
    )


@given('the next {count:d} answers to calls are without end: {case}')
def make_endless(context, count, case):
    context.gateway_stage.upstreams['s1'].endless_answers = [
        case for _ in range(count)
    ]


@when('{reader} reads a response without end: {case}')
def read_endless(context, reader, case):
    context.sent = SimpleNamespace(size=0, open=0)
    context.received = uvloop.run(_read(_READERS[reader], case, context.sent))


async def _read(read, case, sent):
    async def respond(reader, writer):
        try:
            await reader.readuntil(b'\r\n\r\n')
            await send_endlessly(
                writer, case, status='200 OK', headers={}, sent=sent
            )
        except ConnectionError:
            writer.close()

    server = await asyncio.start_server(respond, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    try:
        received = await read(f'http://127.0.0.1:{port}')
        for _ in range(_POLLS):
            if not sent.open:
                break
            await asyncio.sleep(0.01)
    finally:
        server.close()
    return received


async def _read_store(url):
    async with make_unauthenticated_session(_BUFFER_BYTES) as session:
        transport = StoreTransport(
            session=session, base_url=url, timeout_ms=_TIMEOUT_MS
        )
        try:
            async with asyncio.timeout(_CALLER_LIMIT_S):
                return await transport.call('GET', '/api/kv-key')
        except TimeoutError as error:
            return Err(repr(error))


async def _read_message(session, url):
    timeout = make_timeout(_CALLER_LIMIT_S * 1000, _TIMEOUT_MS)
    async with session:
        try:
            async with session.get(url, timeout=timeout) as response:
                return Ok(
                    await read_bounded(
                        response, global_settings.MAX_MESSAGE_BYTES
                    )
                )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return Err(repr(error))


_READERS = {
    'the store': _read_store,
    'a peer': lambda url: _read_message(
        make_unauthenticated_session(_BUFFER_BYTES), url
    ),
    'an upstream': lambda url: _read_message(make_upstream_session(), url),
}


@then('it fails, and the connection is closed after a limited number of bytes')
def check_failed(context):
    assert isinstance(context.received, Err), context.received
    check_connection(context)


@then('the connection is closed after a limited number of bytes')
def check_connection(context):
    sent = context.sent
    assert not sent.open, sent
    assert sent.size <= _BUFFERED_BYTES, sent
