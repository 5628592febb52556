"""Steps of the exit of a stopping entry or sidecar."""

import asyncio

import aiohttp
from behave import then, when

from measure.fleet_plan import HOST
from ragworthollow.utils import make_identifier
from tests.fixtures.daemon_process import DaemonProcess

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
