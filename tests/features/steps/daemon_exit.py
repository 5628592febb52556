"""Steps of the exit of a stopping entry or sidecar."""

import asyncio

import aiohttp
from behave import then, when

from measure.fleet_plan import HOST
from ragworthollow.utils import make_identifier
from tests.fixtures.daemon_process import DaemonProcess
from tests.fixtures.daemon_service import DaemonHarness
from tests.fixtures.operator_connection import connect, make_head

_CHANGES_PATH = '/v1/operator/changes'
_READ_PATH = '/api/kv-key'
# Shorter than the timeout of a call to the store.
_SLOW_MS = 1200
_FILE_NAME = '30-more.yaml'
_EMPTY_FILE = 'owner: consortium\n'


def _make_change() -> dict:
    return {
        'change_id': make_identifier(),
        'base': {},
        'puts': {_FILE_NAME: _EMPTY_FILE},
    }


@when('an entry process stops during a change, and the store is slow')
def stop_during_change(context):
    harness = context.daemon_process
    context.answer = harness.run(_stop_during_change(harness))


async def _stop_during_change(harness: DaemonProcess):
    reads = await harness.count_store_calls(_READ_PATH)
    await harness.slow_store_down(_SLOW_MS)
    change = asyncio.ensure_future(_send_change(harness))
    await harness.wait_for_store_call(_READ_PATH, reads + 1)
    harness.terminate()
    return await change


async def _send_change(harness: DaemonProcess):
    try:
        async with harness.fleet.session.post(
            f'http://{HOST}:{harness.port}{_CHANGES_PATH}',
            json=_make_change(),
            headers=harness.get_operator_headers(),
        ) as response:
            return await response.json()
    except aiohttp.ClientError as error:
        return {'error': repr(error)}


@then('the operator got the complete response to the change')
def check_change(context):
    assert context.answer.get('accepted'), context.answer


@when('an entry with a limit of {limit_ms:d} ms stops, and a request hangs')
def stop_with_endless_request(context, limit_ms):
    context.limit_ms = limit_ms
    harness = context.daemon_service
    harness.run(_stop_with_endless_request(harness, limit_ms))


async def _stop_with_endless_request(
    harness: DaemonHarness, limit_ms: int
) -> None:
    await harness.start_entry(balancer_lag_ms=limit_ms, drain_limit_ms=limit_ms)
    _, writer = await connect(harness.port)
    # The body of the request never comes.
    writer.write(make_head('POST', _CHANGES_PATH, 1))
    await harness.wait_for_requests(1)
    harness.service.request_shutdown()
    await harness.service.serve()
    writer.close()
    await harness.service.stop()


@then('the whole stop did not take twice its limit')
def check_limit(context):
    (stopped,) = (
        fields for event, fields in context.log_lines if event == 'stopped'
    )
    assert stopped['cut'] == 1, stopped
    assert stopped['elapsed_ms'] < 2 * context.limit_ms, stopped
