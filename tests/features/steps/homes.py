"""Behave steps for the allowed regions of routes and organisations."""

import asyncio

from behave import given, then, when

from ragworthollow.pieces import PieceScheduler
from ragworthollow.upstreams import LoadTracker, UpstreamInstance
from tests.fixtures.piece_pool import make_profile, make_waiting_piece

_REGIONS_BY_DOMAIN = {'one': 'east', 'two': 'west', 'three': 'north'}
_INSTANCES_BY_REGION = {'east': ('u1', 'u2'), 'west': ('u3',), 'north': ('u4',)}
_MAX_REFUSAL_S = 3
_MAX_TRIES = 5


def _parse_regions(text: str) -> list[str]:
    if text == 'any region':
        return []
    return text.replace(' and ', ', ').split(', ')


@given('failure domains one, two and three in regions east, west and north')
def add_gateway_with_regions(context):
    stage = context.gateway_stage
    stage.run(stage.add_gateway('g2', regions=_REGIONS_BY_DOMAIN))
    stage.run(stage.wait_for_configuration('g2'))


@given('instances of the plain pool in each of them')
def add_instances(context):
    stage = context.gateway_stage
    stage.run(stage.add_upstream('u3', 'plain', failure_domain='two'))
    stage.run(stage.add_upstream('u4', 'plain', failure_domain='three'))
    directory = stage.get_context('g2').directory
    stage.run(stage.wait_for(lambda: len(directory.get_pool('plain')) == 4))


@given('the route allows {route} and the organisation {organisation}')
def set_allowed_regions(context, route, organisation):
    stage = context.gateway_stage
    configuration = stage.configuration
    routes = [
        {**entry, 'allowed_regions': _parse_regions(route)}
        for entry in configuration['routes']
    ]
    tenants = [
        {**entry, 'allowed_regions': _parse_regions(organisation)}
        for entry in configuration['tenants']
    ]
    stage.run(
        stage.configure(
            version=configuration['version'] + 1,
            routes=routes,
            tenants=tenants,
        ),
    )
    stage.run(stage.wait_for_configuration('g2'))


@when('{count:d} requests are sent to any of them')
def send_requests(context, count):
    stage = context.gateway_stage

    async def send_all() -> list:
        return await asyncio.gather(
            *(stage.send('/safe/answer', gateway='g2') for _ in range(count)),
        )

    start_s = stage.loop.time()
    context.responses = stage.run(send_all())
    context.took_s = stage.loop.time() - start_s


@then('they ran in {regions} only')
def check_regions(context, regions):
    upstreams = context.gateway_stage.upstreams
    used_regions = {
        region
        for region, names in _INSTANCES_BY_REGION.items()
        if any(upstreams[name].runs for name in names)
    }
    assert used_regions == set(_parse_regions(regions)), used_regions
    assert {answer.status for answer in context.responses} == {200}


@then('all were refused at once as not run, and nothing ran')
def check_refused(context):
    for answer in context.responses:
        assert answer.status == 503, answer
        assert 'Retry-After' in answer.headers, answer
    assert context.took_s < _MAX_REFUSAL_S, context.took_s
    assert not any(
        upstream.runs for upstream in context.gateway_stage.upstreams.values()
    )


def _make_instance(number: int, region: str) -> UpstreamInstance:
    return UpstreamInstance(
        instance=f'{region}-{number}',
        pool='p',
        address='',
        failure_domain=region,
        slots=1,
        region=region,
    )


@when('pieces allowed in west wait for instances in east and west')
def run_pieces_in_allowed_region(context):
    instances = [
        _make_instance(number, region)
        for region in ('east', 'west')
        for number in range(2)
    ]
    scheduler = PieceScheduler()
    profile = make_profile(1)
    context.producers = []
    waiting = make_waiting_piece(500, allowed_regions=frozenset(('west',)))
    scheduler.submit(waiting)
    for _ in range(_MAX_TRIES):
        (call,) = scheduler.plan(profile, instances, LoadTracker(), 0)
        context.producers.append(call.instance.instance)
        scheduler.finish(call)
        scheduler.resubmit(waiting, call.instance.instance, instances)


@then('the instances in west process them, also after one of them has failed')
def check_producers(context):
    assert set(context.producers) == {'west-0', 'west-1'}, context.producers
