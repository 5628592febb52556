"""Define steps for requests that crash the instances that run them."""

from dataclasses import dataclass

from behave import given, then, when

from ragworthollow.quarantine import CrashReport
from ragworthollow_ctl.commands.quarantine import quarantine
from ragworthollow_ctl.commands.release import release
from ragworthollow_daemon.gateway.readiness import Readiness
from tests.fixtures.commands import run_command
from tests.fixtures.gateways import HOST
from tests.fixtures.stage_requests import GATEWAY_NAMES
from tests.standins.upstream import CRASHING_KEY

_MIN_INSTANCES = 4
# Store reads by all gateways between two attempts: these take longer than an
# update takes from one gateway to another.
_READS_BETWEEN_ATTEMPTS = 2 * len(GATEWAY_NAMES)
_LAST_ATTEMPTS = 4
_MIN_RETRY_AFTER_S = 10
_RECORDS_PREFIX = 'quarantine/'
_PARTS_HEADER = 'X-Ragworthollow-Prefix-Hash'
_HARMFUL_PART = 'bad0:40'
_TEMPLATE = 'c0de:100'
_HARMLESS_PATHS = {
    'safe': '/safe/harmless/answer',
    'resumable': '/resumable/harmless/stream',
    'stream': '/stream/harmless/stream',
}


@dataclass(kw_only=True)
class _CrashingPool:
    """Hold the pool whose instances crash and its listed instances."""

    pool: str
    listed: set[str]


@given('instances that crash restart under another name')
def prepare_instances(context):
    stage = context.gateway_stage
    context.crashing_pool = _CrashingPool(pool='plain', listed={'u1', 'u2'})
    stage.run(_replace_crashed(stage, context.crashing_pool))


@given('instances for stage work that crash restart under another name')
def prepare_stage_instances(context):
    stage = context.gateway_stage
    context.crashing_pool = _CrashingPool(pool='stage', listed={'s1'})
    stage.run(_replace_crashed(stage, context.crashing_pool))


async def _replace_crashed(stage, crashing_pool) -> None:
    """Replace instances that have crashed, as the platform does."""
    for name, upstream in list(stage.upstreams.items()):
        if upstream.has_crashed and name in crashing_pool.listed:
            await stage.remove_instance(name)
            crashing_pool.listed.discard(name)
    while len(crashing_pool.listed) < _MIN_INSTANCES:
        name = f'u{len(stage.upstreams) + 1}'
        await stage.add_upstream(name, crashing_pool.pool)
        crashing_pool.listed.add(name)
    await stage.wait_for(
        lambda: all(
            _is_up_to_date(stage, name, crashing_pool) for name in GATEWAY_NAMES
        ),
    )


def _is_up_to_date(stage, gateway: str, crashing_pool) -> bool:
    pool = stage.get_context(gateway).directory.get_pool(crashing_pool.pool)
    return {instance.instance for instance in pool} == crashing_pool.listed


@when('a caller posts to {path:S} {count:d} times, at each gateway in turn')
def send_in_turn(context, path, count):
    stage = context.gateway_stage
    context.responses = stage.run(
        _send_in_turn(stage, context.crashing_pool, path, count),
    )


@when('a caller posts {count:d} times to {path:S} with pieces that crash')
def send_pieces_in_turn(context, count, path):
    stage = context.gateway_stage
    headers = _make_piece_headers(CRASHING_KEY)
    stage.run(_send_in_turn(stage, context.crashing_pool, path, count, headers))


@when(
    'callers post {count:d} different requests with pieces of the same data '
    'that crash'
)
def send_different_with_pieces(context, count):
    stage = context.gateway_stage
    stage.run(_send_different_with_pieces(stage, context.crashing_pool, count))


async def _send_different_with_pieces(stage, crashing_pool, count) -> None:
    for number in range(count):
        await stage.send(
            f'/staged/{number}/answer',
            gateway=GATEWAY_NAMES[number % len(GATEWAY_NAMES)],
            headers=_make_piece_headers(CRASHING_KEY),
        )
        await _wait_for_evidence(stage)
        await _replace_crashed(stage, crashing_pool)


@then('a request with pieces of other data is served at each gateway')
def check_other_data_served(context):
    stage = context.gateway_stage
    for gateway in GATEWAY_NAMES:
        response = stage.run(
            stage.send(
                '/staged/other/answer',
                gateway=gateway,
                headers=_make_piece_headers('sound'),
                limit_ms=20_000,
            )
        )
        assert response.status == 200, response


def _make_piece_headers(key: str) -> dict[str, str]:
    return {
        'X-Ragworthollow-Pieces': '2,1',
        'X-Ragworthollow-Piece-Key': key,
    }


async def _send_in_turn(
    stage, crashing_pool, path, count, headers=None
) -> list:
    responses = []
    for number in range(count):
        gateway = GATEWAY_NAMES[number % len(GATEWAY_NAMES)]
        responses.append(
            await stage.send(path, gateway=gateway, headers=headers),
        )
        await stage.wait_for_reads(_READS_BETWEEN_ATTEMPTS)
        await _replace_crashed(stage, crashing_pool)
    return responses


@then('no more than {count:d} instances have crashed')
def check_crashes(context, count):
    crashed = [
        name
        for name, upstream in context.gateway_stage.upstreams.items()
        if upstream.has_crashed
    ]
    assert len(crashed) <= count, crashed


@then('the last attempts were refused as not run, with a long retry delay')
def check_refusals(context):
    for response in context.responses[-_LAST_ATTEMPTS:]:
        assert response.status == 503, response
        assert float(response.headers['Retry-After']) > _MIN_RETRY_AFTER_S, (
            response
        )


@then('a caller posts to {path:S} and is served at each gateway')
def check_served_at_each(context, path):
    stage = context.gateway_stage
    for gateway in GATEWAY_NAMES:
        response = stage.run(stage.send(path, gateway=gateway))
        assert response.status == 200, response


@when('two gateways have seen one crash each of the same request')
def split_evidence(context):
    stage = context.gateway_stage
    for gateway in GATEWAY_NAMES[:2]:
        report = CrashReport(
            fingerprint='split', crash_ages_ms={f'seen-by-{gateway}': 0}
        )
        stage.get_context(gateway).quarantine.apply_report(report)


@given('a gateway that operators can ask')
def add_operator_gateway(context):
    stage = context.gateway_stage
    context.metrics_address = f'{HOST}:{stage.ports.take()}'
    stage.run(
        stage.add_gateway('asked', metrics_address=context.metrics_address)
    )
    stage.run(stage.wait_for_configuration('asked'))


@then('operators are shown the request and {count:d} crashes')
def check_shown(context, count):
    stage = context.gateway_stage
    output = stage.run(run_command(quarantine, context.metrics_address))
    context.fingerprint, remaining, unit, *crashes = output.split()
    assert int(remaining) > _MIN_RETRY_AFTER_S, output
    assert unit == 's', output
    assert len(crashes) == count, output


@when('they release it')
def release_request(context):
    stage = context.gateway_stage
    stage.run(
        run_command(release, context.fingerprint, context.metrics_address)
    )


@then('it is quarantined at no gateway')
def check_released(context):
    stage = context.gateway_stage
    contexts = [stage.get_context(name) for name in (*GATEWAY_NAMES, 'asked')]
    stage.run(
        stage.wait_for(
            lambda: (
                not any(
                    gateway.quarantine.list_quarantined()
                    for gateway in contexts
                )
            ),
        ),
    )


@when('the store holds {count:d} records of requests that are quarantined')
@then('the store holds {count:d} records of requests that are quarantined')
def wait_recorded(context, count):
    stage = context.gateway_stage
    stage.run(stage.wait_for(lambda: _count_records(stage) == count))


def _count_records(stage) -> int:
    return sum(key.startswith(_RECORDS_PREFIX) for key in stage.store.entries)


@when(
    'callers post {count:d} different requests to /{route:w} whose '
    '{position:w} prompt part is harmful'
)
def send_harmful_parts(context, count, route, position):
    _run_harmful_parts(
        context, count, route, position, harmless_path=_HARMLESS_PATHS[route]
    )


@when(
    'callers post {count:d} different requests to /{route:w} whose '
    '{position:w} prompt part is harmful, and no others'
)
def send_only_harmful_parts(context, count, route, position):
    _run_harmful_parts(context, count, route, position)


def _run_harmful_parts(context, count, route, position, harmless_path=''):
    stage = context.gateway_stage
    context.harmless_path = _HARMLESS_PATHS[route]
    context.responses = stage.run(
        _send_harmful_parts(
            stage,
            context.crashing_pool,
            [f'/{route}/{number}/crash' for number in range(count)],
            position,
            harmless_path,
        )
    )


async def _send_harmful_parts(
    stage, crashing_pool, paths, position, harmless_path
) -> list:
    shared = {
        'first': (_HARMFUL_PART, _TEMPLATE),
        'second': (_TEMPLATE, _HARMFUL_PART),
    }[position]
    responses = []
    for number, path in enumerate(paths):
        gateway = GATEWAY_NAMES[number % len(GATEWAY_NAMES)]
        headers = {_PARTS_HEADER: ','.join((*shared, f'{number:x}:10'))}
        responses.append(
            await stage.send(path, gateway=gateway, headers=headers)
        )
        await _wait_for_evidence(stage)
        await _replace_crashed(stage, crashing_pool)
        if harmless_path:
            await _send_harmless(stage, harmless_path, gateway)
    return responses


async def _wait_for_evidence(stage) -> None:
    await stage.wait_for(lambda: _has_exchanged_evidence(stage))


def _has_exchanged_evidence(stage) -> bool:
    """Tell whether each crash was detected and all gateways know of it."""
    contexts = [stage.get_context(name) for name in GATEWAY_NAMES]
    detected = {
        incarnation
        for gateway in contexts
        for incarnation in gateway.quarantine.list_crashes()
    }
    crashed = sum(upstream.has_crashed for upstream in stage.upstreams.values())
    counts = {gateway.quarantine.count() for gateway in contexts}
    return len(detected) == crashed and len(counts) == 1


async def _send_harmless(stage, path, gateway):
    """Send a request with the template of the harmful ones."""
    headers = {_PARTS_HEADER: f'{_TEMPLATE},f00d:40,{stage.request_count:x}:10'}
    return await stage.send(path, gateway=gateway, headers=headers)


@then('requests with the other prompt parts are served at each gateway')
def check_harmless_served(context):
    stage = context.gateway_stage
    for gateway in GATEWAY_NAMES:
        response = stage.run(
            _send_harmless(stage, context.harmless_path, gateway)
        )
        assert response.status == 200, response


@when('a gateway joins and becomes ready')
def add_late_gateway(context):
    stage = context.gateway_stage
    stage.run(stage.add_gateway('late'))
    stage.run(stage.wait_for(lambda: _is_ready(stage.get_context('late'))))


def _is_ready(gateway) -> bool:
    return Readiness(context=gateway).is_ready()


@then('it refuses a request with the harmful part')
def check_late_gateway(context):
    stage = context.gateway_stage
    headers = {_PARTS_HEADER: f'{_TEMPLATE},{_HARMFUL_PART},late:10'}
    response = stage.run(
        stage.send('/stream/late/crash', gateway='late', headers=headers)
    )
    assert response.status == 503, response
