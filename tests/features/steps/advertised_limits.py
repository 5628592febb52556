"""Define steps for instances that advertise a limit."""

import asyncio
import math

from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from measure.throttle_model.model import Fleet, play
from measure.throttle_model.pattern import PATTERNS
from measure.throttle_model.policies import POLICIES, WRONG_VARIANTS
from ragworthollow.conf import global_settings
from ragworthollow.throttling import (
    UNLIMITED_PER_S,
    AdvertisedLimit,
    AdvertisedLimits,
    derive_advertised_limits,
    make_limit_update,
    read_limit_update,
)
from ragworthollow.utils import get_boottime_ms, get_monotonic_ms
from tests.fixtures.stage_requests import GATEWAY_NAMES, send_stage_requests

_LIMIT_HEADER = 'Server-Limit'
_WINDOW_S = 4
# The platform allows a multiple of the limit plus a fixed number of requests
# in any window.
_BURST_RATIO = 1.5
_BURST_SLACK = 5
_MIN_SPAN_MS = 16_000
# A simulation is long enough for at least this many requests at the limit.
_MIN_REQUESTS = 30
# Offered load as a multiple of what the instances accept: in ordinary runs,
# and in overload.
_DEMAND_RATIO = 2
_OVERLOAD_RATIO = 8
_SEEDS = range(2)
_EXAMPLES = settings(max_examples=400, deadline=None, derandomize=True)
_MOMENTS_MS = st.integers(0, 20)
_LIMITS = st.sampled_from((1.0, 2.0, UNLIMITED_PER_S))
_PATTERNS = {
    'all see everyone': 'the whole pool',
    'all are new': 'all gateways new',
    'a cut parts them': 'two sides of a cut',
}


def compute_max_requests(limit_per_s: float) -> float:
    return limit_per_s * _WINDOW_S * _BURST_RATIO + _BURST_SLACK


@given('{name:w} advertises a limit of {limit_per_s:g} request a second')
@given('{name:w} advertises a limit of {limit_per_s:g} requests a second')
def advertise_limit(context, name, limit_per_s):
    upstream = context.gateway_stage.upstreams[name]
    upstream.response_headers = {_LIMIT_HEADER: f'{limit_per_s:g}'}


@when('{count:d} callers post to {path:S} at all gateways together')
def send_together(context, count, path):
    stage = context.gateway_stage

    async def send() -> list:
        return await asyncio.gather(
            *(
                stage.send(
                    path, gateway=GATEWAY_NAMES[number % len(GATEWAY_NAMES)]
                )
                for number in range(count)
            ),
        )

    context.arrivals_before = {
        name: len(upstream.arrivals)
        for name, upstream in stage.upstreams.items()
    }
    context.responses = stage.run(send())


@then('{name:w} has got no more since then than a limit of {limit:g} allows')
def check_allowed(context, name, limit):
    arrivals = context.gateway_stage.upstreams[name].arrivals
    arrived = len(arrivals) - context.arrivals_before[name]
    assert arrived <= compute_max_requests(limit), arrived


@given('the gateway has been a member for long enough to send')
def wait_for_propagation(context):
    stage = context.gateway_stage
    senders = stage.get_context().throttle.senders
    stage.run(
        stage.wait_for(
            lambda: senders.is_chosen('u1@0', 1, get_monotonic_ms()),
        ),
    )


@given('{name:w} responds with a limit of {text}')
def respond_with_limit(context, name, text):
    context.gateway_stage.upstreams[name].response_headers = {
        _LIMIT_HEADER: text
    }


@when('{name:w} no longer advertises a limit')
def stop_advertising(context, name):
    context.gateway_stage.upstreams[name].response_headers = {}


@when('{count:d} callers post to {path:S} at once')
def send_at_once(context, count, path):
    stage = context.gateway_stage

    async def send() -> list:
        return await asyncio.gather(*(stage.send(path) for _ in range(count)))

    context.responses = stage.run(send())


@when('{count:d} callers post stage work at all gateways together')
def send_stage_work(context, count):
    stage = context.gateway_stage
    context.arrivals_before = {
        name: len(upstream.arrivals)
        for name, upstream in stage.upstreams.items()
    }
    stage.run(send_stage_requests(stage, count, '/staged/answer'))


@when('callers post to {path:S} at that gateway until {name:w} has answered')
def send_to_operator_gateway(context, path, name):
    stage = context.gateway_stage
    upstream = stage.upstreams[name]

    async def send() -> None:
        while not upstream.runs:
            await stage.send(path, gateway='asked')

    stage.run(send())


@then('the limit of {name:w} is {limit}, and it is logged as {event:w}')
def check_limit_read(context, name, limit, event):
    gateway = context.gateway_stage.get_context()
    advertised = gateway.throttle.advertised_limits.find(
        f'{name}@0', get_boottime_ms()
    )
    limit_per_s = None if advertised is None else advertised.requests_per_s
    assert limit_per_s == (None if limit == 'none' else float(limit)), (
        limit_per_s
    )
    event_names = {
        'named': 'instance_named_limit',
        'unreadable': 'instance_limit_unreadable',
    }
    rendered = gateway.metrics.render().decode()
    assert f'event="{event_names[event]}"' in rendered, rendered


def _simulate(
    gateways: int,
    limit_per_s: float,
    description: str,
    policy_name: str = 'ranked',
    demand: float = _DEMAND_RATIO,
) -> list:
    limits = derive_advertised_limits(limit_per_s)
    instances = max(2, gateways // 4)
    fleet = Fleet(
        gateways=gateways,
        instances=instances,
        requests_per_s=demand * limit_per_s * instances,
        span_ms=max(_MIN_SPAN_MS, _MIN_REQUESTS / limit_per_s * 1000),
        window_ms=_WINDOW_S * 1000,
        is_uneven=True,
    )
    policy = {**POLICIES, **WRONG_VARIANTS}[policy_name]
    pattern = PATTERNS[_PATTERNS[description]]
    return [play(fleet, pattern, policy, limits, seed) for seed in _SEEDS]


@when(
    '{gateways:d} gateways send to a pool that advertises limits of {limit:g}, '
    'and {what}'
)
def simulate_sharing(context, gateways, limit, what):
    context.limit = limit
    context.results = _simulate(gateways, limit, what)


@when(
    '{gateways:d} gateways send {variant} to a pool that advertises limits of '
    '{limit:g}'
)
def simulate_wrong_policy(context, gateways, variant, limit):
    context.limit = limit
    context.results = [
        result
        for description in _PATTERNS
        for result in _simulate(
            gateways, limit, description, variant, _OVERLOAD_RATIO
        )
    ]


@then('no instance gets more than its limit allows')
def check_limit_kept(context):
    most = max(result.most for result in context.results)
    assert most <= compute_max_requests(context.limit), most


@then('some instance gets more than its limit allows')
def check_limit_exceeded(context):
    most = max(result.most for result in context.results)
    assert most > compute_max_requests(context.limit), most


@then('the pool gets at least {part:g} of what it accepts')
def check_used(context, part):
    used = min(result.used for result in context.results)
    assert used >= part, used


def _make_limit(limit_per_s: float, first: int, second: int) -> AdvertisedLimit:
    return AdvertisedLimit(
        requests_per_s=limit_per_s,
        sent_ms=min(first, second),
        received_ms=max(first, second) + 1,
    )


@then(
    'a higher limit is applied only after a response that is certainly fresher'
)
def check_order(context):
    @_EXAMPLES
    @given_any(
        st.lists(st.builds(_make_limit, _LIMITS, _MOMENTS_MS, _MOMENTS_MS))
    )
    def explore(advertised):
        limits = AdvertisedLimits()
        for advertised_limit in advertised:
            limits.record('u1@0', advertised_limit)
        active = limits.find('u1@0', 0)
        active_per_s = (
            UNLIMITED_PER_S if active is None else active.requests_per_s
        )
        for advertised_limit in advertised:
            is_superseded = any(
                other.sent_ms >= advertised_limit.received_ms
                for other in advertised
            )
            assert (
                active_per_s <= advertised_limit.requests_per_s or is_superseded
            ), advertised_limit

    explore()


@then('the echo changes nothing')
def check_echo(context):
    limits = AdvertisedLimits()
    limits.record('u1@0', _make_limit(1, 1_000, 2_000))
    for now_ms in range(2_100, 12_100, 500):
        update = make_limit_update(
            limits.choose_to_send(now_ms)['u1@0'], now_ms
        )
        echo = read_limit_update(
            update, sent_after_ms=now_ms, now_ms=now_ms + 400
        )
        assert not limits.record_received('u1@0', echo)
    assert limits.find('u1@0', 12_000) == _make_limit(1, 1_000, 2_000)


@then('each limit is sent in turn, changed limits first')
def check_sent_in_turn(context):
    limits = AdvertisedLimits()
    max_limits = global_settings.MAX_LIMITS_PER_MESSAGE
    for number in range(3 * max_limits):
        limits.record(f'i{number}@0', _make_limit(1, 0, 1))
    now_ms = global_settings.CHANGED_LIMIT_PRIORITY_MS + 10
    limits.record('i0@0', _make_limit(2, now_ms - 2, now_ms - 1))
    updates = [limits.choose_to_send(now_ms) for _ in range(4)]
    assert all(
        'i0@0' in update and len(update) <= max_limits for update in updates
    )
    sent = set().union(*updates)
    assert len(sent) == 3 * max_limits, len(sent)


@then('it expires some time after the last response')
def check_expiry(context):
    limits = AdvertisedLimits()
    limits.record('u1@0', _make_limit(1, 0, 10))
    ttl_ms = global_settings.ADVERTISED_LIMIT_TTL_MS
    assert limits.find('u1@0', ttl_ms - 1)
    assert not limits.find('u1@0', ttl_ms)
    assert math.isclose(
        limits.get_remaining_ms(_make_limit(1, 0, 10), 0), 60_000
    )
