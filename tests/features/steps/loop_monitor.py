"""Steps for the monitor of the event loop."""

import asyncio
import json
import tempfile
import time
from pathlib import Path
from unittest import mock

from behave import given, then, when

from ragworthollow.conf import global_settings
from ragworthollow.metrics import Metrics
from ragworthollow_daemon.build_info import describe_build
from ragworthollow_daemon.loop_monitor import LoopMonitor
from tests.fixtures.open_connection import OpenConnection

_OK = 200
_BEAT_S = global_settings.LOOP_BEAT_MS / 1000


@given('a loop that is monitored')
def prepare_monitor(context):
    context.metrics = Metrics()
    context.monitor = LoopMonitor(metrics=context.metrics)
    context.monitor.start_sampling()
    context.add_cleanup(context.monitor.stop_sampling)


@given('a loop that is monitored where timers are refused')
def prepare_unsampled_monitor(context):
    with mock.patch('signal.setitimer', side_effect=OSError(22, 'refused')):
        prepare_monitor(context)


@when('one step computes for {processor_ms:d} ms of processor time')
def compute(context, processor_ms):
    def keep_loop_busy():
        ends_s = time.process_time() + processor_ms / 1000
        while time.process_time() < ends_s:
            pass

    asyncio.run(_run_step(context.monitor, keep_loop_busy))


@when('one step sleeps for {sleep_ms:d} ms without giving way')
def block(context, sleep_ms):
    asyncio.run(_run_step(context.monitor, lambda: time.sleep(sleep_ms / 1000)))


@when('it only waits for {count:d} checks')
def wait(context, count):
    asyncio.run(_run_step(context.monitor, lambda: None, checks=count))


async def _run_step(monitor, step, checks=2):
    running = asyncio.ensure_future(monitor.run())
    await asyncio.sleep(0)
    step()
    await asyncio.sleep(checks * _BEAT_S)
    running.cancel()


def _find_stalls(context) -> list[dict]:
    return [
        fields for event, fields in context.log_lines if event == 'loop_stalled'
    ]


@then('one stall is logged and counted, of at least {stalled_ms:d} ms')
def check_stall(context, stalled_ms):
    first = _find_stalls(context)[0]
    assert first['stalled_ms'] >= stalled_ms, first
    assert b'event="loop_stalled"' in context.metrics.render()


@then(
    'at least {processor_ms:d} ms of it were processor time, spent in that step'
)
def check_calls(context, processor_ms):
    first = _find_stalls(context)[0]
    assert first['processor_ms'] >= processor_ms, first
    assert 'keep_loop_busy' in first['calls'], first


@then('that step was logged before the stall ended')
def check_logged_early(context):
    events = [event for event, _ in context.log_lines]
    assert events.index('loop_blocked') < events.index('loop_stalled'), events
    blocked = context.log_lines[events.index('loop_blocked')][1]
    assert 'keep_loop_busy' in blocked['calls'], blocked


@then('less than half of it was processor time')
def check_idle(context):
    first = _find_stalls(context)[0]
    assert first['processor_ms'] * 2 < first['stalled_ms'], first


@then('the log tells that the loop is not sampled')
def check_not_sampled(context):
    events = [event for event, _ in context.log_lines]
    assert events.count('loop_not_sampled') == 1, events


@then('no stall of processor time is logged')
def check_no_stall(context):
    _check_no_busy_stall(_find_stalls(context))


@when(
    'callers post to {path:S} while {count:d} streams send 1 MB each in chunks '
    'of {chunk_bytes:d} bytes'
)
def post_beside_streams(context, path, count, chunk_bytes):
    harness = context.gateway_process
    context.statuses = harness.run(
        _post_beside_streams(harness, path, count, chunk_bytes)
    )


async def _post_beside_streams(harness, path, count, chunk_bytes):
    streams = []
    for number in range(count):
        connection = OpenConnection(port=harness.front_port)
        await connection.open()
        connection.send(f'/stream/long?{chunk_bytes}', f'long-{number}')
        streams.append(connection)
    connection = await harness.connect()
    statuses = []
    for number in range(20):
        connection.send(path, f'beside-{number}')
        statuses.append(await connection.read_status())
        await connection.read_body()
    # Lets a stall that has not ended be logged.
    await asyncio.sleep(2 * _BEAT_S)
    for stream in streams:
        stream.close()
    return statuses


@then('all of their requests are answered')
def check_statuses(context):
    assert set(context.statuses) == {_OK}, context.statuses


@then('its log has no stall of processor time')
def check_process_log(context):
    lines = context.gateway_process.find_events('loop_stalled')
    _check_no_busy_stall(map(json.loads, lines))


def _check_no_busy_stall(stalls):
    busy = [
        stall
        for stall in stalls
        if stall['processor_ms'] >= global_settings.LOOP_STALL_MS
    ]
    assert not busy, busy


@then(
    'the line of its start has the build, the version of Python, the event '
    'loop, the HTTP parser and the libraries'
)
def check_started(context):
    (line,) = context.gateway_process.find_events('started')
    started = json.loads(line)
    names = ('build', 'python', 'event_loop', 'http_parser', 'libraries')
    assert all(started[name] for name in names), started
    assert started['event_loop'].startswith('uvloop'), started


@then('a folder with a digest is described by it, one without as unknown')
def check_digest(context):
    asyncio.run(_check_digest())


async def _check_digest():
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        assert describe_build(folder)['build'] == 'unknown'
        (folder / 'BUILD').write_text('1f73533b\n')
        assert describe_build(folder)['build'] == '1f73533b'
