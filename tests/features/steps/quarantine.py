"""Steps of requests that crash the instances that run them."""

from dataclasses import dataclass

from behave import given, then, when

from ragworthollow_ctl.commands.quarantine import quarantine
from ragworthollow_ctl.commands.release import release
from tests.fixtures.commands import run_command
from tests.fixtures.gateways import HOST
from tests.fixtures.staged import NAMES
from tests.standins.upstream import CRASHING_KEY

_LEAST_INSTANCES = 4
# Reads of the store by all gateways between two tries: longer than what one
# gateway needs to hear from another.
_READS_BETWEEN = 2 * len(NAMES)
_LAST_TRIES = 4
_MUCH_LATER_S = 10
_RECORDS = 'quarantine/'


@dataclass(kw_only=True)
class _Crashing:
    """Hold the pool whose instances crash, and those that are listed."""

    pool: str
    present: set[str]


@given('instances that crash come back under another name')
def prepare_instances(context):
    stage = context.gateway_stage
    context.crashing = _Crashing(pool='plain', present={'u1', 'u2'})
    stage.run(_restore(stage, context.crashing))


@given('instances for stage work that crash come back under another name')
def prepare_stage_instances(context):
    stage = context.gateway_stage
    context.crashing = _Crashing(pool='stage', present={'s1'})
    stage.run(_restore(stage, context.crashing))


async def _restore(stage, crashing) -> None:
    """Replace instances that have crashed, as the platform does."""
    for name, upstream in list(stage.upstreams.items()):
        if upstream.has_crashed and name in crashing.present:
            await stage.hide(name)
            crashing.present.discard(name)
    while len(crashing.present) < _LEAST_INSTANCES:
        name = f'u{len(stage.upstreams) + 1}'
        await stage.add_upstream(name, crashing.pool)
        crashing.present.add(name)
    await stage.wait_for(
        lambda: all(_knows(stage, name, crashing) for name in NAMES),
    )


def _knows(stage, gateway: str, crashing) -> bool:
    pool = stage.get_context(gateway).directory.get_pool(crashing.pool)
    return {one.instance for one in pool} == crashing.present


@when('a caller posts to {path:S} {count:d} times, at each gateway in turn')
def send_in_turn(context, path, count):
    stage = context.gateway_stage
    context.answers = stage.run(
        _send_in_turn(stage, context.crashing, path, count),
    )


@when('a caller posts {count:d} times to {path:S} with pieces that crash')
def send_pieces_in_turn(context, count, path):
    stage = context.gateway_stage
    headers = {
        'X-Ragworthollow-Pieces': '2,1',
        'X-Ragworthollow-Piece-Key': CRASHING_KEY,
    }
    stage.run(_send_in_turn(stage, context.crashing, path, count, headers))


async def _send_in_turn(stage, crashing, path, count, headers=None) -> list:
    answers = []
    for number in range(count):
        gateway = NAMES[number % len(NAMES)]
        answers.append(
            await stage.send(path, gateway=gateway, headers=headers),
        )
        await stage.wait_reads(_READS_BETWEEN)
        await _restore(stage, crashing)
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


@given('a gateway that operators can ask')
def add_asked_gateway(context):
    stage = context.gateway_stage
    context.asked = f'{HOST}:{stage.ports.take()}'
    stage.run(stage.add_gateway('asked', metrics_address=context.asked))
    stage.run(stage.wait_configured('asked'))


@then('operators are shown the request and {count:d} crashes')
def check_shown(context, count):
    stage = context.gateway_stage
    shown = stage.run(run_command(quarantine, context.asked))
    context.fingerprint, left, unit, *crashes = shown.split()
    assert int(left) > _MUCH_LATER_S, shown
    assert unit == 's', shown
    assert len(crashes) == count, shown


@when('they have it released')
def release_request(context):
    stage = context.gateway_stage
    stage.run(run_command(release, context.fingerprint, context.asked))


@then('it is quarantined at no gateway')
def check_released(context):
    stage = context.gateway_stage
    contexts = [stage.get_context(name) for name in (*NAMES, 'asked')]
    stage.run(
        stage.wait_for(
            lambda: (
                not any(one.quarantine.list_quarantined() for one in contexts)
            ),
        ),
    )


@when('the store holds {count:d} records of requests that are quarantined')
@then('the store holds {count:d} records of requests that are quarantined')
def wait_recorded(context, count):
    stage = context.gateway_stage
    stage.run(stage.wait_for(lambda: _count_records(stage) == count))


def _count_records(stage) -> int:
    return sum(key.startswith(_RECORDS) for key in stage.store.entries)
