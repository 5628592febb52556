"""Steps for several gateways that share schedulers and budgets."""

import asyncio

from behave import given, then, when

from ragworthollow.utils import get_boottime_ms
from tests.fixtures.stage_requests import GATEWAY_NAMES, send_stage_requests
from tests.standins.partial_streams import End
from tests.standins.upstream import make_handle

_PLAIN_INSTANCES = ('u1', 'u2')


@given('two more gateways and an instance for stage work')
def add_fleet(context):
    context.gateway_stage.run(_add_fleet(context.gateway_stage))


async def _add_fleet(stage) -> None:
    await stage.add_upstream('s1', 'stage')
    staged_route = {
        **stage.configuration['routes'][1],
        'name': 'r-staged',
        'path_prefix': '/staged/',
        'slo_ms': 20_000,
        'timeout_ms': 20_000,
        'stages': [
            {'backend': 'stage', 'after': [], 'bytes': 8000},
            {'backend': 'stage', 'after': [0], 'bytes': 8000},
        ],
    }
    routes = [*stage.configuration['routes'], staged_route]
    await stage.configure(version=11, routes=routes)
    for name in GATEWAY_NAMES[1:]:
        await stage.add_gateway(name)
    for name in GATEWAY_NAMES:
        await stage.wait_for_configuration(name)
        await _wait_for_members(stage, name)


async def _wait_for_members(stage, name) -> None:
    context = stage.get_context(name)
    await stage.wait_for(
        lambda: (
            context.members == len(GATEWAY_NAMES)
            and len(context.directory.get_pool('stage')) == 1
        ),
    )


@given('calls for pieces take {piece_ms:d} ms')
def set_piece_duration(context, piece_ms):
    context.gateway_stage.upstreams['s1'].piece_ms = piece_ms


@given('the next {count:d} pieces of a second stage fail')
def fail_pieces(context, count):
    context.gateway_stage.upstreams['s1'].failing_pieces = count


@given(
    'the next {count:d} answers to calls are framed by their {framing:S}, cut '
    'in the middle, and end by {end:S}'
)
def cut_answers(context, count, framing, end):
    context.gateway_stage.upstreams['s1'].cut_answers = [
        (framing, End(end)) for _ in range(count)
    ]


@given(
    'the next {count:d} answers to calls nest their values {levels:d} levels '
    'deep'
)
def nest_answers(context, count, levels):
    body = b'{"unknown":' + b'[' * levels + b']' * levels + b'}'
    context.gateway_stage.upstreams['s1'].spoiled_bodies = [
        body for _ in range(count)
    ]


@when('{count:d} callers post to {path:S} through all gateways')
def send_through_all(context, count, path):
    stage = context.gateway_stage
    context.responses = stage.run(send_stage_requests(stage, count, path))


@then('each ran once with all inputs of its own')
def check_inputs(context):
    stage = context.gateway_stage
    address = stage.upstreams['s1'].address
    for response in context.responses:
        (run,) = [
            run
            for name in _PLAIN_INSTANCES
            for run in stage.upstreams[name].runs
            if run.request_id == response.request_id
        ]
        actual = run.headers['x-ragworthollow-inputs'].split(',')
        expected = [
            f'{address}/{response.request_id}-1-{number}' for number in (0, 1)
        ]
        assert actual == expected, run.headers


@then('there were fewer calls for pieces than pieces')
def check_calls(context):
    calls = context.gateway_stage.upstreams['s1'].calls
    pieces = sum(len(call) for call in calls)
    assert pieces == 3 * len(context.responses), pieces
    assert len(calls) < pieces, calls


@then('all results are released')
def check_released(context):
    stage = context.gateway_stage
    upstream = stage.upstreams['s1']
    handles = {
        make_handle(upstream.address, item)
        for call in upstream.calls
        for item in call
    }
    stage.run(stage.wait_for(lambda: handles <= set(upstream.released_handles)))


@when('a gateway starts')
def start_gateway(context):
    stage = context.gateway_stage
    stage.run(stage.add_gateway('g2'))


@then('it is not ready and answers 503')
def check_not_ready(context):
    stage = context.gateway_stage
    assert stage.run(_get_ready_status(stage, 'g2')) == 503
    response = stage.run(stage.send('/safe/answer', gateway='g2'))
    assert response.status == 503, response
    assert float(response.headers['Retry-After']) > 0


async def _get_ready_status(stage, name) -> int:
    address = stage.get_context(name).settings.ready_address
    url = f'http://{address}/api/ready'
    async with stage.session.get(url) as response:
        return response.status


@then('it serves without a restart once the store is available')
def check_recovered(context):
    stage = context.gateway_stage
    stage.store.faults.active = {}
    stage.run(stage.wait_for_configuration('g2'))
    assert stage.run(_get_ready_status(stage, 'g2')) == 200
    stage.run(_wait_for_plain_pool(stage, 'g2'))
    response = stage.run(stage.send('/safe/answer', gateway='g2'))
    assert response.status == 200, response


async def _wait_for_plain_pool(stage, name) -> None:
    directory = stage.get_context(name).directory
    await stage.wait_for(
        lambda: len(directory.get_pool('plain')) == len(_PLAIN_INSTANCES),
    )


@when('all gateways are killed and started again')
def restart_all(context):
    stage = context.gateway_stage
    stage.run(_restart_all(stage))


async def _restart_all(stage) -> None:
    await stage.configure(version=30)
    for name in GATEWAY_NAMES:
        await stage.gateways[name].close()
    for name in GATEWAY_NAMES:
        await stage.add_gateway(name)


@then('they serve the newest configuration')
def check_restarted(context):
    stage = context.gateway_stage
    for name in GATEWAY_NAMES:
        stage.run(stage.wait_for_configuration(name))
        stage.run(_wait_for_plain_pool(stage, name))
    responses = stage.run(send_stage_requests(stage, 6, '/staged/answer'))
    assert {response.status for response in responses} == {200}, responses


@then(
    'the pool got no more than {count:d} requests, and a fifth of them and '
    '{slack:d} as retries'
)
def check_budget(context, count, slack):
    stage = context.gateway_stage
    arrivals = sum(
        len(stage.upstreams[name].arrivals) for name in _PLAIN_INSTANCES
    )
    assert arrivals <= count * 1.2 + slack, arrivals
    # The budget must be used: a failing instance must not end a request.
    assert arrivals > count, arrivals


@given('a gateway with {grace_s:d} s between TERM and its end')
def add_gateway_with_grace_time(context, grace_s):
    stage = context.gateway_stage
    stage.run(stage.add_gateway('g2', grace_s=grace_s))
    stage.run(stage.wait_for_configuration('g2'))
    stage.run(_wait_for_plain_pool(stage, 'g2'))


@when('it is asked to stop while a caller waits for {path:S}')
def stop_during_request(context, path):
    context.waiting, context.stopping = context.gateway_stage.run(
        _stop_during_request(context.gateway_stage, path),
    )


async def _stop_during_request(stage, path):
    waiting = asyncio.ensure_future(stage.send(path, gateway='g2'))
    await stage.wait_for(
        lambda: any(stage.upstreams[name].runs for name in _PLAIN_INSTANCES),
    )
    role = stage.gateways['g2']
    role.begin_shutdown()
    return waiting, asyncio.ensure_future(role.stop())


@when('a stream is requested late in the stop')
def request_late_stream(context):
    context.late_response = context.gateway_stage.run(
        _request_late_stream(context.gateway_stage),
    )


async def _request_late_stream(stage):
    shutdown_state = stage.get_context('g2').stop
    route = stage.get_context('g2').route_table.match(
        'service.example', '/stream/'
    )
    await stage.wait_for(
        lambda: not shutdown_state.accepts(route, 1000, get_boottime_ms()),
    )
    return await stage.send('/stream/stream', gateway='g2')


@then(
    'the stream was refused as not run '
    'and the waiting caller got status {status:d}',
)
def check_shutdown_responses(context, status):
    stage = context.gateway_stage
    assert context.late_response.status == 503, context.late_response
    assert float(context.late_response.headers['Retry-After']) > 0
    stage.run(asyncio.wait_for(context.stopping, 20))
    response = stage.run(asyncio.wait_for(context.waiting, 20))
    assert response.status == status, response
