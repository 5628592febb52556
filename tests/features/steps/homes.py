"""Steps of the regions in which requests may run."""

import asyncio

from behave import given, then, when

from ragworthollow.pieces import PieceScheduler
from ragworthollow.upstreams import LoadTracker, UpstreamInstance
from tests.fixtures.piece_pool import make_profile, make_waiting

_REGIONS = {'one': 'east', 'two': 'west', 'three': 'north'}
_NAMES = {'east': ('u1', 'u2'), 'west': ('u3',), 'north': ('u4',)}
_AT_ONCE_S = 3
_MOST_TRIES = 5


def _parse(text: str) -> list[str]:
    if text == 'any region':
        return []
    return text.replace(' and ', ', ').split(', ')


@given('failure domains one, two and three in regions east, west and north')
def place_domains(context):
    stage = context.gateway_stage
    stage.run(stage.add_gateway('g2', regions=_REGIONS))
    stage.run(stage.wait_configured('g2'))


@given('instances of the plain pool in each of them')
def add_instances(context):
    stage = context.gateway_stage
    stage.run(stage.add_upstream('u3', 'plain', failure_domain='two'))
    stage.run(stage.add_upstream('u4', 'plain', failure_domain='three'))
    directory = stage.get_context('g2').directory
    stage.run(stage.wait_for(lambda: len(directory.get_pool('plain')) == 4))


@given('the route allows {route} and the organisation {organisation}')
def set_homes(context, route, organisation):
    stage = context.gateway_stage
    configuration = stage.configuration
    routes = [
        {**one, 'allowed_regions': _parse(route)}
        for one in configuration['routes']
    ]
    tenants = [
        {**one, 'allowed_regions': _parse(organisation)}
        for one in configuration['tenants']
    ]
    stage.run(
        stage.configure(
            version=configuration['version'] + 1,
            routes=routes,
            tenants=tenants,
        ),
    )
    stage.run(stage.wait_configured('g2'))


@when('{count:d} requests are sent to any of them')
def send(context, count):
    stage = context.gateway_stage

    async def send_all() -> list:
        return await asyncio.gather(
            *(stage.send('/safe/answer', gateway='g2') for _ in range(count)),
        )

    began_s = stage.loop.time()
    context.answers = stage.run(send_all())
    context.took_s = stage.loop.time() - began_s


@then('they ran in {regions} only')
def check_regions(context, regions):
    upstreams = context.gateway_stage.upstreams
    ran = {
        region
        for region, names in _NAMES.items()
        if any(upstreams[name].runs for name in names)
    }
    assert ran == set(_parse(regions)), ran
    assert {answer.status for answer in context.answers} == {200}


@then('all were refused at once as not run, and nothing ran')
def check_refused(context):
    for answer in context.answers:
        assert answer.status == 503, answer
        assert 'Retry-After' in answer.headers, answer
    assert context.took_s < _AT_ONCE_S, context.took_s
    assert not any(one.runs for one in context.gateway_stage.upstreams.values())


def _make_instance(number: int, region: str) -> UpstreamInstance:
    return UpstreamInstance(
        instance=f'{region}-{number}',
        pool='p',
        address='',
        failure_domain=region,
        slots=1,
        region=region,
    )


@when('pieces at home in west wait for instances in east and west')
def wait_at_home(context):
    instances = [
        _make_instance(number, region)
        for region in ('east', 'west')
        for number in range(2)
    ]
    gate = PieceScheduler()
    profile = make_profile(1)
    context.makers = []
    waiting = make_waiting(500, allowed_regions=frozenset(('west',)))
    gate.submit(waiting)
    for _ in range(_MOST_TRIES):
        (call,) = gate.plan(profile, instances, LoadTracker(), 0)
        context.makers.append(call.instance.instance)
        gate.finish(call)
        gate.resubmit(waiting, call.instance.instance, instances)


@then('those in west make them, also after one of these has failed')
def check_makers(context):
    assert set(context.makers) == {'west-0', 'west-1'}, context.makers
