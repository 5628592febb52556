"""Steps of requests that crash the instances that run them."""

from behave import given, then, when

from tests.fixtures.staged import NAMES

_LEAST_INSTANCES = 4
# Reads of the store by all gateways between two tries: longer than what one
# gateway needs to hear from another.
_READS_BETWEEN = 2 * len(NAMES)
_LAST_TRIES = 4
_MUCH_LATER_S = 10


@given('instances that crash come back under another name')
def prepare_instances(context):
    stage = context.gateway_stage
    stage.run(_restore(stage))


async def _restore(stage) -> None:
    """Replace instances that have crashed, as the platform does."""
    for name, upstream in list(stage.upstreams.items()):
        if upstream.has_crashed and name in stage.present:
            await stage.hide(name)
            stage.present.discard(name)
    while len(stage.present) < _LEAST_INSTANCES:
        name = f'u{len(stage.upstreams) + 1}'
        await stage.add_upstream(name, 'plain')
        stage.present.add(name)
    await stage.wait_for(lambda: all(_knows(stage, name) for name in NAMES))


def _knows(stage, gateway: str) -> bool:
    pool = stage.get_context(gateway).directory.get_pool('plain')
    return {one.instance for one in pool} == stage.present


@when('a caller posts to {path:S} {count:d} times, at each gateway in turn')
def send_in_turn(context, path, count):
    stage = context.gateway_stage
    context.answers = stage.run(_send_in_turn(stage, path, count))


async def _send_in_turn(stage, path, count) -> list:
    answers = []
    for number in range(count):
        gateway = NAMES[number % len(NAMES)]
        answers.append(await stage.send(path, gateway=gateway))
        await stage.wait_reads(_READS_BETWEEN)
        await _restore(stage)
    return answers


@then('no more than {count:d} instances have crashed')
def check_crashes(context, count):
    crashed = [
        name
        for name, upstream in context.gateway_stage.upstreams.items()
        if upstream.has_crashed
    ]
    assert len(crashed) <= count, crashed


@then('the last tries were refused as not run, to come back much later')
def check_refusals(context):
    for answer in context.answers[-_LAST_TRIES:]:
        assert answer.status == 503, answer
        assert float(answer.headers['Retry-After']) > _MUCH_LATER_S, answer


@then('a caller posts to {path:S} and is served at each gateway')
def check_others(context, path):
    stage = context.gateway_stage
    for gateway in NAMES:
        answer = stage.run(stage.send(path, gateway=gateway))
        assert answer.status == 200, answer
