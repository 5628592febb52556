"""Steps of orders to engines."""

import asyncio
import signal
import time

from behave import given, then, when

_TIMEOUT_S = 60
_EXPECTED_MODELS = {'vision-7b': '2026.11', 'triage-8b': '2026.08'}
_ENGINE_COUNT = 6


def _get_engine_port(context, name):
    return context.stage.fleet.plan.get(name).upstream_port


def _get_models(context, name):
    port = _get_engine_port(context, name)
    return context.stage.run(context.stage.fleet.get_json(port, '/v1/models'))


def _wait_for_models(context, name):
    deadline = time.monotonic() + _TIMEOUT_S
    while _get_models(context, name)['models'] != _EXPECTED_MODELS:
        assert time.monotonic() < deadline, _get_models(context, name)
        context.stage.run(asyncio.sleep(0.2))


def _post_order(context, name, **order):
    fleet = context.stage.fleet
    url = f'http://127.0.0.1:{_get_engine_port(context, name)}/v1/orders'

    async def post():
        async with fleet.session.post(url, json=order) as response:
            return response.status

    return context.stage.run(post())


@given('every engine of lm-pool has loaded its models')
def wait_for_all_engines(context):
    for number in range(_ENGINE_COUNT):
        _wait_for_models(context, f'lm-pool-{number}')


@when('an engine that ignores fencing gets a late order for an old version')
def post_late_order(context):
    context.engine = 'lm-pool-0'
    status = _post_order(
        context,
        context.engine,
        fence=0,
        action='load',
        model='vision-7b',
        version='2020.01',
    )
    assert status == 200, status
    assert _get_models(context, context.engine)['models'] != _EXPECTED_MODELS


@then('the engine has soon loaded its models again')
def check_models(context):
    _wait_for_models(context, context.engine)


@when("the weight store's log is read")
def read_load_counts(context):
    fleet = context.stage.fleet
    context.counts = context.stage.run(
        fleet.get_json(fleet.plan.weights_port, '/counts'),
    )


@then('each engine has loaded each model about once and none was refused')
def check_loads(context):
    counts = context.counts
    assert not counts['refused'], counts
    # The late order and its correction add to the expected loads.
    expected = _ENGINE_COUNT * len(_EXPECTED_MODELS)
    assert expected <= counts['served'] <= expected + 4, counts


@when('the sidecar of {name} is killed, its engine emptied and it is started')
def restart_sidecar_with_empty_engine(context, name):
    context.engine = name
    fleet = context.stage.fleet
    orders = _get_models(context, name)['orders']
    context.fence = max(order['fence'] for order in orders)
    fleet.processes.send(name, signal.SIGKILL)
    fleet.processes.wait(name, 5)
    for model, version in _EXPECTED_MODELS.items():
        _post_order(
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
    orders = _get_models(context, context.engine)['orders']
    assert orders[-1]['fence'] > context.fence, (context.fence, orders)
