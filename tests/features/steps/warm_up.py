"""Define steps for instances that warm up."""

import asyncio
import math

from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from measure.throttle_model.model import Fleet, play
from measure.throttle_model.pattern import PATTERNS
from measure.throttle_model.policies import (
    POLICIES,
    SETTLE_MS,
    WRONG_VARIANTS,
)
from ragworthollow.conf import global_settings
from ragworthollow.throttling import RateLimits, derive_limits, derive_quota
from ragworthollow.utils import get_monotonic_ms
from tests.fixtures.stage_requests import send_stage_requests
from tests.fixtures.throttles import make_throttle

_LIMITS = RateLimits(requests_per_s=8, burst=17)
_INSTANCES = 8
_REQUESTS_PER_S = 160
_SEEDS = range(3)
_WARM_UP_MS = 60_000
_IMMEDIATE_S = 3
_EXAMPLES = settings(max_examples=500, deadline=None, derandomize=True)


def _simulate(gateways: int, pattern: str, policy_name: str) -> list[int]:
    fleet = Fleet(
        gateways=gateways,
        instances=_INSTANCES,
        requests_per_s=_REQUESTS_PER_S,
    )
    make_policy = {**POLICIES, **WRONG_VARIANTS}[policy_name]
    return [
        play(fleet, PATTERNS[pattern], make_policy, _LIMITS, seed).most
        for seed in _SEEDS
    ]


@when('{gateways:d} gateways send to a pool in which {what} warms up')
def send_to_some(context, gateways, what):
    context.max_requests = _simulate(gateways, what, 'ranked')


@when(
    '{gateways:d} gateways send to a pool that warms up, and there are {what}',
)
def send_partitioned(context, gateways, what):
    context.max_requests = _simulate(gateways, what, 'ranked')


@when('{gateways:d} gateways send {variant} to a pool that warms up')
def send_with_wrong_policy(context, gateways, variant):
    context.max_requests = [
        max_requests
        for pattern in ('the whole pool', 'all gateways new')
        for max_requests in _simulate(gateways, pattern, variant)
    ]


@then('no instance gets more than its burst in any second')
def check_burst(context):
    assert max(context.max_requests) <= _LIMITS.burst, context.max_requests


@then('some instance gets more than its burst')
def check_burst_exceeded(context):
    assert max(context.max_requests) > _LIMITS.burst, context.max_requests


@then(
    'for any of them two choices of senders together keep within the burst',
)
def check_quotas(context):
    @_EXAMPLES
    @given_any(
        st.floats(0.1, 100),
        st.floats(0.5, 4),
        st.floats(0, 20),
        st.integers(1, 1000),
    )
    def explore(requests_per_s, ratio, slack, gateways):
        limits = derive_limits(
            requests_per_s=requests_per_s,
            burst_ratio=ratio,
            burst_slack=slack,
        )
        quota = derive_quota(limits, gateways)
        # A quota is at least one request, even if half of the burst is less.
        max_requests = max(1, limits.burst // 2)
        assert quota.senders * quota.requests <= max_requests, (limits, quota)
        assert quota.senders <= gateways

    explore()


@then(
    'a gateway that is no longer listed sends nothing until the propagation '
    'time has passed'
)
def check_propagation(context):
    senders = make_throttle('g1').senders
    members = ('g1', 'g2', 'g3')
    senders.set_members(members, 0)
    assert senders.is_chosen('i1', 3, SETTLE_MS)
    senders.set_members(('g2',), 10_000)
    assert not senders.is_chosen('i1', 3, 20_000)
    senders.set_members(members, 30_000)
    assert not senders.is_chosen('i1', 3, 30_000 + SETTLE_MS - 1)
    assert senders.is_chosen('i1', 3, 30_000 + SETTLE_MS)


@then('the longer of both times applies')
def check_longest(context):
    warm_ups = make_throttle().warm_ups
    warm_ups.record('i1@1', 3000)
    warm_ups.record_entry('i1@1', 1000)
    assert math.isclose(warm_ups.get_remaining_ms('i1@1', 500), 2500)
    warm_ups.record_entry('i1@1', 4000)
    assert math.isclose(warm_ups.get_remaining_ms('i1@1', 500), 3500)
    assert not warm_ups.get_remaining_ms('i1@2', 500)


@then('the instance that was reported last is tracked, however old it is')
def check_remembered(context):
    warm_ups = make_throttle().warm_ups
    warm_ups.record_entry('old@1', 0)
    for number in range(global_settings.MAX_WARM_UPS - 1):
        warm_ups.record_entry(f'other@{number}', 0)
    warm_ups.record_entry('old@1', 1000)
    warm_ups.record_entry('new@1', 0)
    assert warm_ups.get_remaining_ms('old@1', 0)


async def _configure(stage) -> None:
    plain, *others = stage.configuration['services']
    warming_service = {**plain, 'cold_start_s': 60.0, 'cold_per_s': 2.0}
    version = stage.configuration['version'] + 1
    await stage.configure(version=version, services=[warming_service, *others])
    for name in stage.gateways:
        await stage.wait_for_configuration(name)
    senders = [
        role.context.throttle.senders for role in stage.gateways.values()
    ]
    await stage.wait_for(
        lambda: all(
            any(
                sender.is_chosen(incarnation, 1, get_monotonic_ms())
                for sender in senders
            )
            for incarnation in ('u1@0', 'u2@0')
        ),
    )


async def _report_warm_up(stage, name: str, cold_left_ms: float) -> None:
    await stage.publish_instance(name, 'plain', cold_left_ms=cold_left_ms)
    contexts = [role.context for role in stage.gateways.values()]
    await stage.wait_for(
        lambda: all(
            bool(
                context.throttle.warm_ups.get_remaining_ms(
                    f'{name}@0',
                    get_monotonic_ms(),
                ),
            )
            is bool(cold_left_ms)
            for context in contexts
        ),
    )


@given('instances that are limited to 2 requests a second while they warm up')
def configure_warm_up(context):
    stage = context.gateway_stage
    stage.run(_configure(stage))


@given(
    'u1 and u2 warm up for 60 seconds, and are limited to 2 requests a second'
)
def warm_up_both(context):
    configure_warm_up(context)
    stage = context.gateway_stage
    for name in ('u1', 'u2'):
        stage.run(_report_warm_up(stage, name, _WARM_UP_MS))


@given('u1 warms up for 60 seconds, and is limited to 2 requests a second')
def warm_up_one(context):
    configure_warm_up(context)
    stage = context.gateway_stage
    stage.run(_report_warm_up(stage, 'u1', _WARM_UP_MS))


@given('u1 and u2 have become cold, which only their responses report')
def respond_as_cold(context):
    for name in ('u1', 'u2'):
        context.gateway_stage.upstreams[name].response_headers = {
            'X-Ragworthollow-Cold-Ms': str(_WARM_UP_MS),
        }


@when('the records of u1 and u2 report that they are warm')
def report_as_warm(context):
    stage = context.gateway_stage
    for name in ('u1', 'u2'):
        stage.run(_report_warm_up(stage, name, 0))


@when('domain one was drained and is restored')
def drain_and_restore(context):
    stage = context.gateway_stage
    stage.run(_drain_and_restore(stage))


async def _drain_and_restore(stage) -> None:
    directory = stage.get_context().directory
    await stage.write({'op/evacuate/one': '{}'})
    await stage.wait_for(lambda: not directory.get_pool('plain'))
    await stage.write({'op/evacuate/one': None})
    await stage.wait_for(lambda: len(directory.get_pool('plain')) == 2)


@when('callers have got a response from u1 and from u2')
def send_until_both_respond(context):
    stage = context.gateway_stage
    upstreams = [stage.upstreams[name] for name in ('u1', 'u2')]

    async def send() -> None:
        while not all(upstream.runs for upstream in upstreams):
            await stage.send('/safe/answer')

    stage.run(send())
    context.before = {
        upstream.name: len(upstream.runs) for upstream in upstreams
    }


@when('{count:d} callers post to /safe/answer at the same time')
def send_together(context, count):
    stage = context.gateway_stage

    async def send() -> list:
        return await asyncio.gather(
            *(stage.send('/safe/answer') for _ in range(count)),
        )

    began_s = stage.loop.time()
    context.responses = stage.run(send())
    context.took_s = stage.loop.time() - began_s


@when('{count:d} callers bring stage work to a gateway that may send')
def send_stage_work(context, count):
    stage = context.gateway_stage
    stage.upstreams['s1'].piece_ms = 50
    chosen = next(
        name
        for name, role in stage.gateways.items()
        if role.context.throttle.senders.is_chosen(
            'u1@0',
            1,
            get_monotonic_ms(),
        )
    )
    context.responses = stage.run(
        send_stage_requests(stage, count, '/staged/answer', names=(chosen,)),
    )


@then('some were served, and the others refused at once as not run')
def check_some_served(context):
    statuses = [response.status for response in context.responses]
    assert set(statuses) == {200, 503}, statuses
    assert context.took_s < _IMMEDIATE_S, context.took_s
    for response in context.responses:
        assert response.status == 200 or 'Retry-After' in response.headers


@then('all of them were served')
def check_all_served(context):
    assert {response.status for response in context.responses} == {200}


@then('{name:w} got no more than 2 requests')
def check_max_requests(context, name):
    runs = len(context.gateway_stage.upstreams[name].runs)
    before = getattr(context, 'before', {}).get(name, 0)
    assert runs - before <= 2, runs


@then('neither u1 nor u2 got more than 2 requests')
@then('neither u1 nor u2 got more than 2 requests after that')
def check_max_requests_of_both(context):
    check_max_requests(context, 'u1')
    check_max_requests(context, 'u2')
