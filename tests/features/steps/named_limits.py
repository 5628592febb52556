"""Steps of instances that name a limit."""

import asyncio

from behave import given, then, when

from tests.fixtures.staged import NAMES

_LIMIT = 'Server-Limit'
_WINDOW_S = 4
# What the platform allows in any window: a multiple of the limit, and a
# number of requests beside it.
_RATIO = 1.5
_SLACK = 5


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
