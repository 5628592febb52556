"""Steps of the exit of a stopping process, with real processes."""

import asyncio
from types import SimpleNamespace

from behave import then, when

from tests.fixtures.gateway_process import GatewayProcess
from tests.fixtures.open_connection import OpenConnection

_OK = 200
_UNAVAILABLE = 503
_WRITE_PATH = '/api/kv-txn'
# Longer than the platform lets a stopping process live.
_TIME_LIMIT_MS = 20_000
_REQUEST_ID = 'sent-late'
# Longer than the process takes to exit once it has left the store.
_AFTER_EXIT_S = 1


@when('a gateway process stops, and the store is slow to remove its record')
def stop_with_slow_store(context):
    harness = context.gateway_process
    context.connection = harness.run(_stop_with_slow_store(harness))


async def _stop_with_slow_store(harness: GatewayProcess) -> OpenConnection:
    connection = await harness.connect()
    writes = harness.store.counts[_WRITE_PATH]
    harness.terminate()
    await harness.wait_for(lambda: harness.store.counts[_WRITE_PATH] > writes)
    harness.store.faults.active = {'mute': 1}
    await harness.wait_for(harness.is_leaving_store)
    return connection


@when('a request is sent on a connection that has stayed open')
def send_late(context):
    context.late = context.gateway_process.run(
        _send_late(context.gateway_process, context.connection)
    )


async def _send_late(
    harness: GatewayProcess, connection: OpenConnection
) -> SimpleNamespace:
    (upstream,) = harness.upstreams.values()
    connection.send('/unsafe/hold', _REQUEST_ID)
    reading = asyncio.ensure_future(connection.read_status())
    await harness.wait_for(
        lambda: reading.done() or upstream.count_runs(_REQUEST_ID)
    )
    # A process that waits for the request gets its response only now.
    await asyncio.wait({reading}, timeout=_AFTER_EXIT_S)
    upstream.resume_event.set()
    status = await reading
    return SimpleNamespace(
        runs=upstream.count_runs(_REQUEST_ID),
        status=status,
        is_whole=status is not None and await connection.read_body(),
    )


@then('the request has not run, or its caller got the complete response')
def check_late(context):
    late = context.late
    assert not late.runs or (late.status == _OK and late.is_whole), late


@when('a gateway process stops while a caller reads a large response slowly')
def stop_while_reading(context):
    context.is_whole = context.gateway_process.run(
        _stop_while_reading(context.gateway_process)
    )


async def _stop_while_reading(harness: GatewayProcess) -> bool:
    connection = await harness.connect()
    connection.send('/unsafe/large', _REQUEST_ID)
    assert await connection.read_status() == _OK
    harness.terminate()
    await harness.wait_for(lambda: harness.find_events('drain_wait_ended'))
    end_s = asyncio.get_running_loop().time() + _AFTER_EXIT_S
    await harness.wait_for(
        lambda: (
            not harness.is_running()
            or asyncio.get_running_loop().time() > end_s
        )
    )
    return await connection.read_body()


@then('the caller got the complete response before the process ended')
def check_large_response(context):
    assert context.is_whole


@when('a gateway process stops while a caller reads nothing')
def stop_with_stalled_caller(context):
    context.gateway_process.run(
        _stop_with_stalled_caller(context.gateway_process)
    )


async def _stop_with_stalled_caller(harness: GatewayProcess) -> None:
    connection = await harness.connect()
    connection.send('/unsafe/large', _REQUEST_ID)
    assert await connection.read_status() == _OK
    harness.terminate()


@then('it has stopped gracefully, and logged {count:d} open connections')
def check_open_connections(context, count):
    harness = context.gateway_process
    assert harness.run(harness.wait_for_exit()) == 0
    (line,) = harness.find_events('drained')
    assert f'"open_connections":{count},' in line, line


@when('a gateway process stops while a caller sends half of a body')
def stop_in_body(context):
    context.status = context.gateway_process.run(
        _stop_in_body(context.gateway_process)
    )


async def _stop_in_body(harness: GatewayProcess) -> int | None:
    await harness.raise_time_limits(_TIME_LIMIT_MS)
    connection = await harness.connect()
    connection.send(
        '/unsafe/answer',
        _REQUEST_ID,
        'Content-Length: 9',
        limit_ms=_TIME_LIMIT_MS,
    )
    harness.terminate()
    return await connection.read_status()


@then('the caller was told that the request has not run')
def check_not_run(context):
    assert context.status == _UNAVAILABLE, context.status


@when('{loops:d} loops of a gateway process fail at its start')
def start_failing(context, loops):
    harness = context.gateway_process
    harness.run(harness.start_failing_process(loops))
    harness.run(harness.wait_for(lambda: harness.find_events('task_failed')))


@when('it gets SIGTERM {signals:d} times')
def send_signals(context, signals):
    for _ in range(signals):
        context.gateway_process.terminate()


@then('it has stopped gracefully')
def check_graceful_stop(context):
    harness = context.gateway_process
    # The fixture's process has written to the same log.
    drained = len(harness.find_events('drained'))
    assert harness.run(harness.wait_for_exit()) == 0
    assert len(harness.find_events('drained')) == drained + 1
    assert not harness.find_events('stopped_at_once')
