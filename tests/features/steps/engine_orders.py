"""Steps of orders to engines."""

import asyncio
import signal
import time

from behave import given, then, when

_LIMIT_S = 60
_WANTED = {'vision-7b': '2026.11', 'triage-8b': '2026.08'}
_ENGINES = 6


def _get_port(context, name):
    return context.stage.fleet.plan.get(name).upstream_port


def _read(context, name):
    port = _get_port(context, name)
    return context.stage.run(context.stage.fleet.get_json(port, '/v1/models'))


def _wait_models(context, name):
    end = time.monotonic() + _LIMIT_S
    while _read(context, name)['models'] != _WANTED:
        assert time.monotonic() < end, _read(context, name)
        context.stage.run(asyncio.sleep(0.2))


def _order(context, name, **order):
    fleet = context.stage.fleet
    url = f'http://127.0.0.1:{_get_port(context, name)}/v1/orders'

    async def post():
        async with fleet.session.post(url, json=order) as response:
            return response.status

    return context.stage.run(post())


@given('every engine of lm-pool carries its models')
def wait_all(context):
    for number in range(_ENGINES):
        _wait_models(context, f'lm-pool-{number}')


@when('an engine that ignores fencing gets a late order for an old version')
def order_late(context):
    context.engine = 'lm-pool-0'
    status = _order(
        context,
        context.engine,
        fence=0,
        action='load',
        model='vision-7b',
        version='2020.01',
    )
    assert status == 200, status
    assert _read(context, context.engine)['models'] != _WANTED


@then('the engine soon carries its models again')
def check_models(context):
    _wait_models(context, context.engine)


@when("the weight store's log is read")
def read_log(context):
    fleet = context.stage.fleet
    context.counts = context.stage.run(
        fleet.get_json(fleet.plan.weights_port, '/counts'),
    )


@then('each engine has loaded each model about once and none was refused')
def check_loads(context):
    counts = context.counts
    assert not counts['refused'], counts
    # One late order and its correction come on top.
    expected = _ENGINES * len(_WANTED)
    assert expected <= counts['served'] <= expected + 4, counts


@when('the sidecar of {name} is killed, its engine emptied and it is started')
def kill_sidecar(context, name):
    context.engine = name
    fleet = context.stage.fleet
    orders = _read(context, name)['orders']
    context.fence = max(order['fence'] for order in orders)
    fleet.processes.send(name, signal.SIGKILL)
    fleet.processes.wait(name, 5)
    for model, version in _WANTED.items():
        _order(
            context,
            name,
            fence=0,
            action='unload',
            model=model,
            version=version,
        )
    fleet.start_daemon(name)


@then('its orders carry a higher fencing number than before')
def check_fence(context):
    orders = _read(context, context.engine)['orders']
    assert orders[-1]['fence'] > context.fence, (context.fence, orders)
