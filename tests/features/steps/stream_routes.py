"""Steps for streams whose route moves to another pool."""

from collections import Counter
from functools import partial

from behave import given, step, then, when

from tests.fixtures.recorded_streams import is_stream_recorded
from tests.standins.partial_streams import PartialStream, Stop

_PATH = '/resumable/deep/partial'
_ROUTE = 'r-resumable'
_LONGER_PREFIX = '/resumable/deep/'
_VERSION = 'v1'
_SECOND = 'second'
_POOLS = {
    'plain': ('u1', 'u2'),
    _SECOND: ('w1', 'w2'),
}
_ORDINALS = {'first': 'plain', 'second': _SECOND}
_EVEN = (('plain', 1), (_SECOND, 1))
_MOSTLY_SECOND = (('plain', 1), (_SECOND, 9))
_OK = 200
_REFUSED = 503


@given('a second pool whose version has the same name')
def add_pool(context):
    stage = context.gateway_stage
    for name in _POOLS[_SECOND]:
        stage.run(stage.add_upstream(name, _SECOND))
    plain, *others = stage.configuration['services']
    _configure(context, services=[plain, {**plain, 'name': _SECOND}, *others])
    stage.run(_wait_until_known(stage, 'g1'))


@given('{count:d} more gateways that know both pools')
def add_gateways(context, count):
    stage = context.gateway_stage
    for number in range(2, count + 2):
        stage.run(stage.add_gateway(f'g{number}'))
    for name in stage.gateways:
        stage.run(stage.wait_for_configuration(name))
        stage.run(_wait_until_known(stage, name))
        members = stage.gateways[name].members
        stage.run(stage.wait_for(partial(_knows_all, stage, members)))


def _knows_all(stage, members) -> bool:
    return members.count() == len(stage.gateways)


async def _wait_until_known(stage, name):
    """Wait until a gateway lets streams begin in both pools."""
    directory = stage.get_context(name).directory
    await stage.wait_for(
        lambda: all(
            len(directory.get_pool(pool)) == len(names)
            for pool, names in _POOLS.items()
        )
    )
    await stage.wait_for(
        lambda: (
            'plain' in directory.recorded_versions
            and _VERSION in directory.recorded_versions['plain'].settled
        )
    )


def _configure(context, **changes) -> None:
    stage = context.gateway_stage
    version = stage.configuration['version'] + 1
    stage.run(stage.configure(version=version, **changes))
    for name in stage.gateways:
        stage.run(stage.wait_for_configuration(name))


def _change_route(context, **changes) -> None:
    routes = context.gateway_stage.configuration['routes']
    _configure(
        context,
        routes=[
            {**route, **changes} if route['name'] == _ROUTE else route
            for route in routes
        ],
    )


def _split_route(context, weights) -> None:
    splits = [{'backend': pool, 'weight': weight} for pool, weight in weights]
    _change_route(context, backends=splits)


@step('the route moves to the second pool')
def move_route(context):
    _change_route(context, backend=_SECOND)


@step('the route moves to the second pool under another name')
def move_renamed_route(context):
    _change_route(context, backend=_SECOND, name='r-renamed')


@step('the route is covered by a longer path in second pool')
def add_longer_path(context):
    routes = context.gateway_stage.configuration['routes']
    (route,) = [route for route in routes if route['name'] == _ROUTE]
    longer = {
        **route,
        'name': 'r-longer',
        'path_prefix': _LONGER_PREFIX,
        'backend': _SECOND,
    }
    _configure(context, routes=[*routes, longer])


@when('the longer path is removed')
def remove_longer_path(context):
    routes = context.gateway_stage.configuration['routes']
    _configure(
        context,
        routes=[
            route for route in routes if route['path_prefix'] != _LONGER_PREFIX
        ],
    )


@step('the route is split between both pools')
def split_route(context):
    _split_route(context, _EVEN)


@when('most of the route goes to the second pool')
def change_weights(context):
    _split_route(context, _MOSTLY_SECOND)


@given('the configuration changes nothing of the route')
def change_nothing(context):
    _configure(context)


@when('{count:d} streams break off at g1')
def break_streams(context, count):
    stage = context.gateway_stage
    context.began = [stage.run(_break_stream(stage)) for _ in range(count)]


async def _break_stream(stage):
    """Begin a stream that every instance breaks off after its first event."""
    for upstream in stage.upstreams.values():
        upstream.partial_streams = [
            PartialStream(framing='chunked', stop=Stop.between)
            for _ in stage.upstreams
        ]
    response = await stage.send(_PATH)
    for upstream in stage.upstreams.values():
        upstream.partial_streams = []
    return response


@when('the store has each of them')
def wait_for_records(context):
    stage = context.gateway_stage
    for began in context.began:
        stage.run(
            stage.wait_for(partial(is_stream_recorded, stage, began.request_id))
        )


@when('g1 ends')
def end_gateway(context):
    stage = context.gateway_stage
    stage.run(stage.gateways.pop('g1').close())


@when('each of the streams is resumed at gateway {name:S}')
def resume_streams(context, name):
    context.resumed = [
        _resume(context, name, {'Resumes': began.request_id})
        for began in context.began
    ]


@when('a caller resumes a stream without naming it')
def resume_unnamed(context):
    context.response = _resume(context, 'g1', {})


def _resume(context, gateway, headers):
    stage = context.gateway_stage
    return stage.run(
        stage.send(
            _PATH,
            gateway=gateway,
            headers={'Last-Event-Id': '1', **headers},
        )
    )


@then('none of them has run')
def check_not_run(context):
    ran = [_find_pools(context, resumed) for resumed in context.resumed]
    assert not any(ran), ran


@then('no stream is joined from two pools')
def check_not_joined(context):
    joined = [
        (began.request_id, resumed.request_id)
        for began, resumed in zip(context.began, context.resumed, strict=True)
        if len(_find_pools(context, began, resumed)) > 1
    ]
    assert not joined, (len(joined), _count_statuses(context.resumed), joined)


@then('some resumptions are refused')
def check_some_refused(context):
    statuses = _count_statuses(context.resumed)
    assert statuses.keys() <= {_OK, _REFUSED}, statuses
    assert statuses[_REFUSED], statuses


@then('all streams that began in the {ordinal:w} pool go on')
def check_go_on(context, ordinal):
    of_pool = [
        resumed
        for began, resumed in zip(context.began, context.resumed, strict=True)
        if _find_pools(context, began) == {_ORDINALS[ordinal]}
    ]
    statuses = _count_statuses(of_pool)
    assert statuses == {_OK: len(of_pool)}, statuses
    assert of_pool, 'no stream began in this pool'


def _count_statuses(responses) -> Counter[int]:
    return Counter(response.status for response in responses)


def _find_pools(context, *responses) -> set[str]:
    """Return the pools of the instances that ran any of the requests."""
    request_ids = {response.request_id for response in responses}
    upstreams = context.gateway_stage.upstreams
    return {
        pool
        for pool, names in _POOLS.items()
        if any(
            run.request_id in request_ids
            for name in names
            for run in upstreams[name].runs
        )
    }
