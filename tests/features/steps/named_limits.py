"""Steps of instances that name a limit."""

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
from tests.fixtures.staged import NAMES, send_staged

_LIMIT = 'Server-Limit'
_WINDOW_S = 4
# What the platform allows in any window: a multiple of the limit, and a
# number of requests beside it.
_RATIO = 1.5
_SLACK = 5
_SPAN_MS = 16_000
# Requests of the limit that a play lasts for at least.
_LEAST_REQUESTS = 30
# Requests for each that the instances would take, and in a rush.
_DEMAND = 2
_RUSH = 8
_SEEDS = range(2)
_EXAMPLES = settings(max_examples=400, deadline=None, derandomize=True)
_MOMENT = st.integers(0, 20)
_LIMITS = st.sampled_from((1.0, 2.0, UNLIMITED_PER_S))
_PATTERNS = {
    'all see everyone': 'the whole pool',
    'all are new': 'all gateways new',
    'a cut parts them': 'two sides of a cut',
}


def count_allowed(limit_per_s: float) -> float:
    return limit_per_s * _WINDOW_S * _RATIO + _SLACK


@given('{name:w} names a limit of {limit_per_s:g} request a second')
@given('{name:w} names a limit of {limit_per_s:g} requests a second')
def name_limit(context, name, limit_per_s):
    upstream = context.gateway_stage.upstreams[name]
    upstream.notices = {_LIMIT: f'{limit_per_s:g}'}


@when('{count:d} callers post to {path:S} at all gateways together')
def send_together(context, count, path):
    stage = context.gateway_stage

    async def send() -> list:
        return await asyncio.gather(
            *(
                stage.send(path, gateway=NAMES[number % len(NAMES)])
                for number in range(count)
            ),
        )

    context.arrived = {
        name: len(upstream.arrivals)
        for name, upstream in stage.upstreams.items()
    }
    context.answers = stage.run(send())


@then('{name:w} has got no more since then than a limit of {limit:g} allows')
def check_allowed(context, name, limit):
    arrivals = context.gateway_stage.upstreams[name].arrivals
    arrived = len(arrivals) - context.arrived[name]
    assert arrived <= count_allowed(limit), arrived


@given('the gateway has been a member for long enough to send')
def wait_settled(context):
    stage = context.gateway_stage
    senders = stage.get_context().throttle.senders
    stage.run(
        stage.wait_for(
            lambda: senders.is_chosen('u1@0', 1, get_monotonic_ms()),
        ),
    )


@given('{name:w} answers with a limit of {text}')
def answer_limit(context, name, text):
    context.gateway_stage.upstreams[name].notices = {_LIMIT: text}


@when('{name:w} names no limit any more')
def name_no_limit(context, name):
    context.gateway_stage.upstreams[name].notices = {}


@when('{count:d} callers post to {path:S} at once')
def send_at_once(context, count, path):
    stage = context.gateway_stage

    async def send() -> list:
        return await asyncio.gather(*(stage.send(path) for _ in range(count)))

    context.answers = stage.run(send())


@when('{count:d} callers post stage work at all gateways together')
def send_stage_work(context, count):
    stage = context.gateway_stage
    context.arrived = {
        name: len(upstream.arrivals)
        for name, upstream in stage.upstreams.items()
    }
    stage.run(send_staged(stage, count, '/staged/answer'))


@when('callers post to {path:S} at that gateway until {name:w} has answered')
def send_to_asked(context, path, name):
    stage = context.gateway_stage
    upstream = stage.upstreams[name]

    async def send() -> None:
        while not upstream.runs:
            await stage.send(path, gateway='asked')

    stage.run(send())


@then('the limit of {name:w} is {limit}, and it is logged as {event:w}')
def check_read(context, name, limit, event):
    gateway = context.gateway_stage.get_context()
    named = gateway.throttle.advertised_limits.find(
        f'{name}@0', get_boottime_ms()
    )
    found = None if named is None else named.requests_per_s
    assert found == (None if limit == 'none' else float(limit)), found
    counted = {
        'named': 'instance_named_limit',
        'unreadable': 'instance_limit_unreadable',
    }
    rendered = gateway.metrics.render().decode()
    assert f'event="{counted[event]}"' in rendered, rendered


def _play(
    gateways: int,
    limit_per_s: float,
    what: str,
    way: str = 'ranked',
    demand: float = _DEMAND,
) -> list:
    limits = derive_advertised_limits(limit_per_s)
    instances = max(2, gateways // 4)
    fleet = Fleet(
        gateways=gateways,
        instances=instances,
        requests_per_s=demand * limit_per_s * instances,
        span_ms=max(_SPAN_MS, _LEAST_REQUESTS / limit_per_s * 1000),
        window_ms=_WINDOW_S * 1000,
        is_uneven=True,
    )
    policy = {**POLICIES, **WRONG_VARIANTS}[way]
    pattern = PATTERNS[_PATTERNS[what]]
    return [play(fleet, pattern, policy, limits, seed) for seed in _SEEDS]


@when(
    '{gateways:d} gateways send to a pool that names limits of {limit:g},'
    ' and {what}',
)
def play_shared(context, gateways, limit, what):
    context.limit = limit
    context.plays = _play(gateways, limit, what)


@when(
    '{gateways:d} gateways send {variant} to a pool that names limits of'
    ' {limit:g}',
)
def play_wrong(context, gateways, variant, limit):
    context.limit = limit
    context.plays = [
        one
        for what in _PATTERNS
        for one in _play(gateways, limit, what, variant, _RUSH)
    ]


@then('no instance gets more than its limit allows')
def check_kept(context):
    most = max(one.most for one in context.plays)
    assert most <= count_allowed(context.limit), most


@then('some instance gets more than its limit allows')
def check_noticed(context):
    most = max(one.most for one in context.plays)
    assert most > count_allowed(context.limit), most


@then('the pool gets at least {part:g} of what it takes')
def check_used(context, part):
    used = min(one.used for one in context.plays)
    assert used >= part, used


def _make_answer(
    limit_per_s: float, first: int, second: int
) -> AdvertisedLimit:
    return AdvertisedLimit(
        requests_per_s=limit_per_s,
        sent_ms=min(first, second),
        received_ms=max(first, second) + 1,
    )


@then(
    'a higher limit is believed only after an answer that is younger for'
    ' certain',
)
def check_order(context):
    @_EXAMPLES
    @given_any(st.lists(st.builds(_make_answer, _LIMITS, _MOMENT, _MOMENT)))
    def explore(answers):
        limits = AdvertisedLimits()
        for answer in answers:
            limits.record('u1@0', answer)
        named = limits.find('u1@0', 0)
        believed = UNLIMITED_PER_S if named is None else named.requests_per_s
        for answer in answers:
            is_over = any(one.sent_ms >= answer.received_ms for one in answers)
            assert believed <= answer.requests_per_s or is_over, answer

    explore()


@then('the echo changes nothing')
def check_echo(context):
    limits = AdvertisedLimits()
    limits.record('u1@0', _make_answer(1, 1_000, 2_000))
    for now_ms in range(2_100, 12_100, 500):
        told = make_limit_update(limits.choose_to_send(now_ms)['u1@0'], now_ms)
        echo = read_limit_update(
            told, sent_after_ms=now_ms, now_ms=now_ms + 400
        )
        assert not limits.record_received('u1@0', echo)
    assert limits.find('u1@0', 12_000) == _make_answer(1, 1_000, 2_000)


@then('each is told in turn, those that have changed first')
def check_told(context):
    limits = AdvertisedLimits()
    room = global_settings.MAX_LIMITS_PER_MESSAGE
    for number in range(3 * room):
        limits.record(f'i{number}@0', _make_answer(1, 0, 1))
    now_ms = global_settings.CHANGED_LIMIT_PRIORITY_MS + 10
    limits.record('i0@0', _make_answer(2, now_ms - 2, now_ms - 1))
    told = [limits.choose_to_send(now_ms) for _ in range(4)]
    assert all('i0@0' in one and len(one) <= room for one in told)
    everyone = set().union(*told)
    assert len(everyone) == 3 * room, len(everyone)


@then('it ends some time after the last answer')
def check_end(context):
    limits = AdvertisedLimits()
    limits.record('u1@0', _make_answer(1, 0, 10))
    believed_ms = global_settings.ADVERTISED_LIMIT_TTL_MS
    assert limits.find('u1@0', believed_ms - 1)
    assert not limits.find('u1@0', believed_ms)
    assert math.isclose(
        limits.get_remaining_ms(_make_answer(1, 0, 10), 0), 60_000
    )
