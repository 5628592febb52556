"""Steps for garbled answers of engines, drawn by a property test."""

import asyncio
import os
import random

import aiohttp
from behave import then
from hypothesis import HealthCheck, settings
from hypothesis import given as given_any
from hypothesis import strategies as st

# A long run by hand sets the number of examples and the seed.
_EXAMPLES = int(os.environ.get('GARBLED_EXAMPLES', '6'))
_FIRST_SEED = int(os.environ.get('GARBLED_SEED', '0'))
_REQUESTS = 20
_ROUTES = ('safe', 'unsafe', 'stream', 'resumable', 'staged')
_LIMIT_MS = 400
# What callers allow beyond the time that they state.
_CALLER_LIMIT_S = 10
_ERROR = 500
_STAGE_HEADERS = {
    'X-Ragworthollow-Pieces': '1,2',
    'X-Ragworthollow-Piece-Key': 'key',
}


@then('any garbled answers give no wrong answer, no error and no lost call')
def check_garbled(context):
    stage = context.gateway_stage

    @settings(
        max_examples=_EXAMPLES,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given_any(seed=st.integers(0, 2**32))
    def check_seed(seed):
        stage.run(_check_seed(stage, _FIRST_SEED + seed))

    check_seed()


async def _check_seed(stage, seed):
    stage.upstreams['s1'].garbling_rng = random.Random(seed)
    rng = random.Random(seed)
    async with asyncio.timeout(_CALLER_LIMIT_S):
        responses = await asyncio.gather(
            *(
                _send(stage, rng.choice(_ROUTES), f'{seed}{number}')
                for number in range(_REQUESTS)
            ),
            return_exceptions=True,
        )
    for response in responses:
        # The gateway closes the connection of a stream that it breaks off.
        if not isinstance(response, aiohttp.ClientError):
            _check_response(stage, response)
    for upstream in stage.upstreams.values():
        upstream.runs.clear()
        upstream.calls.clear()
        upstream.arrivals.clear()
    # Each call has ended, whatever was answered.
    await stage.wait_for(
        lambda: (
            not any(
                role.context.load_tracker.get('s1').in_flight
                for role in stage.gateways.values()
            )
        )
    )


async def _send(stage, route, seed):
    behaviour = 'answer' if route == 'staged' else f'garbled?{seed}'
    return await stage.send(
        f'/{route}/{behaviour}',
        headers=_STAGE_HEADERS if route == 'staged' else None,
        limit_ms=_LIMIT_MS,
    )


def _check_response(stage, response):
    assert not isinstance(response, BaseException), repr(response)
    is_signed = 'X-Ragworthollow-Response-Signature' in response.headers
    # Engines sign their own errors; others would be errors of the gateway.
    assert response.status != _ERROR or is_signed, response
    if not is_signed:
        return
    # A signed answer of an engine names the request.
    echoed = response.headers['X-Ragworthollow-Request-Id']
    assert echoed == response.request_id, response
    assert any(
        upstream.count_runs(response.request_id)
        for upstream in stage.upstreams.values()
    ), response
