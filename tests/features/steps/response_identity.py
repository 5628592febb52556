"""Steps for responses that belong to another request."""

import asyncio
from contextlib import asynccontextmanager
from types import MappingProxyType, SimpleNamespace

import aiohttp
import uvloop
from behave import given, then, when

from ragworthollow.platform import REQUEST_ID_HEADER
from ragworthollow.transport.checked_connector import (
    UpstreamConnector,
    make_upstream_session,
)
from ragworthollow.transport.foreign_response_error import (
    ForeignResponseError,
)

_TEST_TIMEOUT_S = 20
_PROMISES = frozenset((408, 421, 429, 503))
_UNFINISHED_HEAD = b'HTTP/1.1 503 Service Unav'
_HEAD_END = b'\r\n\r\n'
_COPY_HEAD = b'HTTP/1.1 200 OK\r\nX-Ragworthollow-Request-Id: request-0\r\n'
_CHUNK = b'400\r\n' + bytes(1024) + b'\r\n'
_COPIES = MappingProxyType(
    {
        'one after the other': SimpleNamespace(
            head=b'', repeated=_COPY_HEAD + b'Content-Length: 0' + _HEAD_END
        ),
        'with a body that grows': SimpleNamespace(
            head=_COPY_HEAD + b'Transfer-Encoding: chunked' + _HEAD_END,
            repeated=_CHUNK,
        ),
        'without a length': SimpleNamespace(
            head=_COPY_HEAD + b'\r\n', repeated=b'body'
        ),
    }
)


@given('instances that repeat each response while the next request runs')
def repeat_responses(context):
    _repeat_responses(context, 1)


@given(
    'instances that repeat each response {count:d} times while the next '
    'request runs'
)
def repeat_responses_often(context, count):
    _repeat_responses(context, count)


def _repeat_responses(context, count):
    for upstream in context.gateway_stage.upstreams.values():
        upstream.repeat_count = count


@when(
    '{count:d} callers post one after the other to {rejected:S} and then to '
    '{path:S}'
)
def post_in_turn(context, count, rejected, path):
    stage = context.gateway_stage
    context.later = []
    context.responses = []
    for _ in range(count):
        context.responses.append(stage.run(stage.send(rejected)))
        context.later.append(stage.run(stage.send(path)))
    context.responses += context.later


@when('{count:d} requests are posted one after the other to {path:S}')
def post_alike(context, count, path):
    stage = context.gateway_stage
    for _ in range(count):
        stage.run(stage.send(path))


@then('each instance that got any has one connection')
def check_kept_connections(context):
    connections = {
        upstream.connections
        for upstream in context.gateway_stage.upstreams.values()
        if upstream.arrivals
    }
    assert connections == {1}, connections


@then('none of those refused has run')
def check_promises(context):
    run_ids = [
        run.request_id
        for upstream in context.gateway_stage.upstreams.values()
        for run in upstream.runs
    ]
    refused_ids = [
        response.request_id
        for response in context.responses
        if response.status in _PROMISES
    ]
    broken_ids = set(refused_ids) & set(run_ids)
    assert not broken_ids, f'{sorted(broken_ids)} were refused and ran'
    assert len(run_ids) == len(set(run_ids)), 'a request ran twice'


@then('all of the later ones were served')
def check_later(context):
    statuses = [response.status for response in context.later]
    assert set(statuses) == {200}, statuses
    for response in context.later:
        assert response.headers[REQUEST_ID_HEADER] == response.request_id


@then('no connection to an upstream is kept')
def check_connections(context):
    connector = context.gateway_stage.get_context().upstream_session.connector
    kept = [
        protocol
        for connections in connector._conns.values()  # noqa: SLF001
        for protocol, _ in connections
    ]
    assert not kept, kept


@given('an upstream that rejects every request')
def reject_requests(context):
    context.trailing_bytes = b''


@given('an upstream that begins another response after each one')
def begin_responses(context):
    context.trailing_bytes = _UNFINISHED_HEAD


@given('an upstream that sends an unfinished head on each new connection')
def greet_connections(context):
    context.has_greeting = True


@when('a request is sent to it')
def send_after_greeting(context):
    assert context.has_greeting
    context.has_failed = _run(_connect_to_greeting())


@then('the session reports that no connection could be made')
def check_refused_connection(context):
    assert context.has_failed


@given('an upstream that answers the second request with copies {how}')
def send_copies(context, how):
    context.copies = _COPIES[how]


@then('the second request has no response of its own')
def check_no_response(context):
    assert context.has_failed


@when('the same request is sent to it {count:d} times')
def send_same_request(context, count):
    ids = ['request-1' for _ in range(count)]
    context.connections = _run(_send(ids, context.trailing_bytes))


@when('{count:d} requests are sent to it')
def send_requests(context, count):
    ids = [f'request-{number}' for number in range(count)]
    if 'copies' in context:
        context.has_failed = _run(_send_before_copies(ids, context.copies))
    else:
        context.connections = _run(_send(ids, context.trailing_bytes))


def _run(coroutine):
    return uvloop.run(asyncio.wait_for(coroutine, _TEST_TIMEOUT_S))


async def _send(request_ids, trailing_bytes) -> int:
    """Send requests in turn; return the number of connections used."""
    connections = 0
    has_written = asyncio.Event()

    async def respond(reader, writer):
        nonlocal connections
        connections += 1
        try:
            while True:
                head = await reader.readuntil(_HEAD_END)
                writer.write(_reject(head))
                await asyncio.sleep(0)
                writer.write(trailing_bytes)
                has_written.set()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async with (
        _serve(respond) as url,
        make_upstream_session(REQUEST_ID_HEADER) as session,
    ):
        for request_id in request_ids:
            await _post(session, url, request_id)
            await has_written.wait()
            # The bytes after the response have arrived once another
            # connection has been served by the same loop.
            async with aiohttp.ClientSession() as other:
                await _post(other, url, request_id)
            has_written.clear()
    return connections - len(request_ids)


async def _connect_to_greeting() -> bool:
    """Return whether a connection was refused that carried bytes at once."""

    async def greet(_reader, writer):
        writer.write(_UNFINISHED_HEAD)
        await writer.drain()

    async with _serve(greet) as url:
        connector = _GreetedConnector(identity_header=REQUEST_ID_HEADER)
        async with aiohttp.ClientSession(connector=connector) as session:
            try:
                await _post(session, url, 'request-0')
            except aiohttp.ClientConnectorError:
                return True
    return False


class _GreetedConnector(UpstreamConnector):
    """Return a new connection once bytes have arrived on it."""

    async def _create_connection(self, req, traces, timeout):
        protocol = await super()._create_connection(req, traces, timeout)
        while not protocol.should_close:
            await asyncio.sleep(0)
        return protocol


async def _send_before_copies(request_ids, copies) -> bool:
    """Send requests; return whether only the last one has no response."""

    async def respond(reader, writer):
        writer.write(_reject(await reader.readuntil(_HEAD_END)))
        await reader.readuntil(_HEAD_END)
        writer.write(copies.head)
        # Ends when the client closes the connection.
        while not writer.is_closing():
            writer.write(copies.repeated)
            await writer.drain()
            await asyncio.sleep(0)

    *earlier_ids, last_id = request_ids
    async with (
        _serve(respond) as url,
        make_upstream_session(REQUEST_ID_HEADER) as session,
    ):
        for request_id in earlier_ids:
            await _post(session, url, request_id)
        try:
            await _post(session, url, last_id)
        except ForeignResponseError:
            return True
    return False


async def _post(session, url, request_id) -> None:
    headers = {REQUEST_ID_HEADER: request_id}
    async with session.post(url, headers=headers) as response:
        assert response.status == 503


def _reject(head: bytes) -> bytes:
    lines = head.decode().split('\r\n')
    name = f'{REQUEST_ID_HEADER.lower()}: '
    echoed = next(line for line in lines if line.lower().startswith(name))
    return (
        f'HTTP/1.1 503 Service Unavailable\r\n{echoed}\r\n'
        'X-Ragworthollow-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
    ).encode()


@asynccontextmanager
async def _serve(respond):
    server = await asyncio.start_server(respond, '127.0.0.1', 0)
    try:
        yield f'http://127.0.0.1:{server.sockets[0].getsockname()[1]}/'
    finally:
        server.close()


@then('it came on {count:d} connections')
def check_connection_count(context, count):
    assert context.connections == count, context.connections


@then('the log holds attempts whose response named no request')
def check_log(context):
    attempts = [
        fields
        for event, fields in context.log_lines
        if event == 'attempt_failed'
    ]
    assert attempts
    for fields in attempts:
        assert fields['response_id'] == ''
        assert fields['exchange'] == 1
        assert fields['outcome'] == 'unknown', fields
