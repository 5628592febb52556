"""Steps of graceful shutdowns."""

import asyncio
import time

from behave import given, then, when

from tests.fixtures.load import start_load, stop_load

_SAMPLE_CALLS = 60
_TIMEOUT_S = 60


@given('steady load')
def start_steady_load(context):
    start_load(context)


@when('each instance of {pool} is stopped and started in turn')
def restart_pool(context, pool):
    stage = context.stage

    async def restart_all():
        for instance in stage.fleet.plan.get_pool(pool):
            code = await stage.fleet.restart(instance.name)
            assert code == 0, (instance.name, code)
            await stage.fleet.wait_ready()
        await asyncio.sleep(1)

    stage.run(restart_all())


@then('no request was interrupted or has an unknown outcome')
def check_no_interruption(context):
    sent = stop_load(context)
    interrupted = [
        request
        for request in sent
        if {'cut', 'unknown', 'unreached'} & set(request.outcomes)
    ]
    assert not interrupted, interrupted


@when('{name} is listed as {state}')
def list_instance(context, name, state):
    context.listed = name
    context.stage.run(context.stage.fleet.set_listed(name, state=state))


async def _sample_calls(context):
    """
    Yield how many calls the listed instance got in each sample.

    A sample ends once its pool has got more than `_SAMPLE_CALLS` calls.
    """
    fleet = context.stage.fleet
    pool = context.listed.rsplit('-', 1)[0]
    previous = {}
    deadline = time.monotonic() + _TIMEOUT_S
    while time.monotonic() < deadline:
        calls = {}
        for instance in fleet.plan.get_pool(pool):
            counter = await fleet.get_json(instance.upstream_port, '/calls')
            calls[instance.name] = counter['calls']
        if (
            not previous
            or sum(calls.values()) - sum(previous.values()) > _SAMPLE_CALLS
        ):
            if previous:
                yield calls[context.listed] - previous[context.listed]
            previous = calls
        await asyncio.sleep(0.1)


@then('it soon gets no more calls while others do')
def check_gets_no_calls(context):
    async def wait():
        async for calls in _sample_calls(context):
            if not calls:
                return True
        return False

    assert context.stage.run(wait())


@then('it soon gets calls again')
def check_gets_calls(context):
    async def wait():
        async for calls in _sample_calls(context):
            if calls:
                return True
        return False

    assert context.stage.run(wait())
    stop_load(context)
