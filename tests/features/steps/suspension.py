"""Steps of machines that are suspended."""

import asyncio
import time
from itertools import chain

from behave import given, then, when

from ragworthollow.once.ownership import Ownership
from ragworthollow.utils import get_monotonic_ms
from tests.fixtures.stage_requests import send_stage_requests

# Time between the reading of a clock and the arrival of what was sent then.
_TRANSIT_MS = 100
_GATEWAY_TIMEOUT = 504
# Some rounds of the gateways' loops.
_SETTLE_S = 0.5
_INPUTS_HEADER = 'x-ragworthollow-inputs'
_DEADLINE_HEADER = 'x-ragworthollow-deadline-ms'


def _list_arrivals(stage) -> list:
    return [
        arrival
        for upstream in stage.upstreams.values()
        for arrival in upstream.arrivals
    ]


@when(
    'a caller with {limit_ms:d} ms posts to {path:S}, and the machine is '
    'suspended for {suspended_ms:d} ms before another attempt'
)
def send_and_suspend(context, limit_ms, path, suspended_ms):
    context.limit_ms = limit_ms
    context.gateway_stage.run(
        _send_and_suspend(context, limit_ms, path, suspended_ms)
    )


async def _send_and_suspend(context, limit_ms, path, suspended_ms) -> None:
    stage = context.gateway_stage
    loop = asyncio.get_running_loop()
    sent_s = loop.time()
    sending = asyncio.ensure_future(stage.send(path, limit_ms=limit_ms))
    await stage.wait_for(lambda: _list_arrivals(stage))
    (first,) = _list_arrivals(stage)
    context.suspension.suspend(suspended_ms)
    await stage.wait_for(lambda: len(_list_arrivals(stage)) > 1)
    (context.second,) = (
        arrival for arrival in _list_arrivals(stage) if arrival is not first
    )
    context.elapsed_ms = (loop.time() - sent_s) * 1000 + suspended_ms
    await sending


@then('no attempt was given more time than the caller had left')
def check_time_given(context):
    given_ms = float(context.second.headers[_DEADLINE_HEADER])
    left_ms = context.limit_ms - context.elapsed_ms
    assert given_ms <= left_ms + _TRANSIT_MS, (given_ms, left_ms)


@when(
    'a caller with {limit_ms:d} ms posts to {path:S}, and the machine is '
    'suspended for {suspended_ms:d} ms'
)
def wait_and_suspend(context, limit_ms, path, suspended_ms):
    context.gateway_stage.run(
        _wait_and_suspend(context, limit_ms, path, suspended_ms)
    )


async def _wait_and_suspend(context, limit_ms, path, suspended_ms) -> None:
    stage = context.gateway_stage
    sent_ms = get_monotonic_ms()
    sending = asyncio.ensure_future(stage.send(path, limit_ms=limit_ms))
    await stage.wait_for(lambda: _list_arrivals(stage))
    context.suspension.suspend(suspended_ms)
    context.response = await sending
    context.elapsed_ms = get_monotonic_ms() - sent_ms


@then('it is answered within {limit_ms:d} ms')
def check_answered(context, limit_ms):
    assert context.response.status == _GATEWAY_TIMEOUT
    assert context.elapsed_ms < limit_ms, context.elapsed_ms


@given('an owner that has just confirmed its lease')
def make_owner(context):
    context.owner = Ownership(instance='s1', incarnation='s1-1')
    context.owner.confirm(get_monotonic_ms())
    assert context.owner.is_certain(get_monotonic_ms())


@when('its machine is suspended for as long as the lease lasts')
def suspend_owner(context):
    context.suspension.suspend(context.owner.rules.lease_ttl_ms)


@then('its ownership is no longer certain')
def check_uncertain(context):
    assert not context.owner.is_certain(get_monotonic_ms())


@when(
    '{count:d} callers wait for upstreams with results of stages, and all '
    'gateways stand still for {seconds:f} s'
)
def stand_still(context, count, seconds):
    context.gateway_stage.run(_stand_still(context, count, seconds))


async def _stand_still(context, count, seconds) -> None:
    stage = context.gateway_stage
    sending = asyncio.ensure_future(
        send_stage_requests(stage, count, '/staged/hold')
    )
    plain = [stage.upstreams[name] for name in ('u1', 'u2')]
    await stage.wait_for(
        lambda: sum(len(upstream.runs) for upstream in plain) == count
    )
    time.sleep(seconds)  # noqa: ASYNC251
    await asyncio.sleep(_SETTLE_S)
    runs = chain.from_iterable(upstream.runs for upstream in plain)
    inputs = ','.join(run.headers[_INPUTS_HEADER] for run in runs)
    context.in_use = set(inputs.split(','))
    context.released = set(stage.upstreams['s1'].released_handles)
    for upstream in plain:
        upstream.resume_event.set()
    await sending


@then('none of these results is released before the upstreams have answered')
def check_not_released(context):
    assert context.in_use
    assert not context.in_use & context.released
