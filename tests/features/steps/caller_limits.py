"""Behave steps for the time limits of slow and idle callers."""

import asyncio

from behave import given, then, when

from ragworthollow.routes import RequestLimits
from tests.fixtures.gateways import API_KEY, HOST

_HEAD = (
    'POST /safe/answer HTTP/1.1\r\n'
    'Host: service.example\r\n'
    f'Authorization: Bearer {API_KEY}\r\n'
    'X-Ragworthollow-Request-Id: slow-caller\r\n'
    'X-Ragworthollow-Deadline-Ms: 300\r\n'
    'Content-Length: 4\r\n\r\n'
).encode()
_BODY = b'body'
_SENT_BYTES = {
    'sends half of a head': _HEAD[:40],
    'sends half of a body': _HEAD + _BODY[:2],
    'opens a connection and is idle': b'',
    'is idle after an answer': _HEAD + _BODY,
}
_TIMEOUT_S = 20


@given('a configuration whose time limits are {limit_ms:d} ms')
def set_time_limits(context, limit_ms):
    stage = context.gateway_stage
    limits = {
        'max_header_bytes': 16384,
        'max_body_bytes': 65536,
        'header_timeout_ms': limit_ms,
        'idle_timeout_ms': limit_ms,
    }
    stage.run(stage.configure(version=7, limits=limits))
    stage.run(stage.wait_for_configuration())
    context.old_limit_ms = limit_ms


async def _open_connection(stage):
    address = stage.get_context().settings.front_address
    return await asyncio.open_connection(HOST, int(address.split(':')[1]))


@when('a caller sends half of {what}')
def send_half(context, what):
    _send_part(context, f'sends half of {what}')


@when('a caller opens a connection and is idle')
def open_idle(context):
    _send_part(context, 'opens a connection and is idle')


@when('a caller is idle after an answer')
def idle_after_response(context):
    _send_part(context, 'is idle after an answer')


def _send_part(context, action):
    context.received = context.gateway_stage.run(
        _send_and_read(context.gateway_stage, action),
    )


async def _send_and_read(stage, action) -> bytes:
    reader, writer = await _open_connection(stage)
    writer.write(_SENT_BYTES[action])
    if action == 'is idle after an answer':
        await asyncio.wait_for(_read_response(reader), _TIMEOUT_S)
    # Reads until the gateway closes the connection.
    received = await asyncio.wait_for(reader.read(), _TIMEOUT_S)
    writer.close()
    return received


async def _read_response(reader) -> bytes:
    head = await reader.readuntil(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 200 '), head
    return await reader.readexactly(len(b'whole answer'))


@then('the gateway ends its connection with status {status}')
def check_connection_closed(context, status):
    if status == 'none':
        assert context.received == b'', context.received
        return
    assert context.received.startswith(f'HTTP/1.1 {status} '.encode())


@when('a caller has an answer and the limit then grows to {limit_ms:d} ms')
def raise_limit(context, limit_ms):
    stage = context.gateway_stage
    context.reader, context.writer = stage.run(_open_connection(stage))
    context.writer.write(_HEAD + _BODY)
    stage.run(asyncio.wait_for(_read_response(context.reader), _TIMEOUT_S))
    stage.get_context().route_table.limits = RequestLimits(
        idle_timeout_ms=limit_ms
    )


@then('the caller gets an answer on the same connection after the old limit')
def check_same_connection(context):
    stage = context.gateway_stage
    stage.run(asyncio.sleep(2 * context.old_limit_ms / 1000))
    context.writer.write(_HEAD + _BODY)
    stage.run(asyncio.wait_for(_read_response(context.reader), _TIMEOUT_S))
    context.writer.close()
