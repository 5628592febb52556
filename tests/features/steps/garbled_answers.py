"""Steps for garbled answers of engines, drawn by a property test."""

import asyncio
import os
import random

import aiohttp
import msgspec
from behave import given, then
from hypothesis import HealthCheck, settings
from hypothesis import given as given_any
from hypothesis import strategies as st
from result import Err, Ok

from ragworthollow.platform import StoreClient
from ragworthollow.platform.transaction import Compare, Put
from tests.standins.garbled_server import GarbledServer

# A long run by hand sets the number of examples and the seed.
_EXAMPLES = int(os.environ.get('GARBLED_EXAMPLES', '6'))
_FIRST_SEED = int(os.environ.get('GARBLED_SEED', '0'))
_REQUESTS = int(os.environ.get('GARBLED_REQUESTS', '20'))
_ROUTES = ('safe', 'unsafe', 'stream', 'resumable', 'staged')
_LIMIT_MS = 400
# What callers allow beyond the time that they state.
_CALLER_LIMIT_S = 10
_ERROR = 500
_STORE_CALLS = 60
_STORE_TIMEOUT_MS = 50
_STORE_BODIES = (
    b'{"items":[{"key":"a","value":"eA==","rev":3}],"as_of":3}',
    b'{"events":[{"key":"a","rev":4,"tombstone":true}],"as_of":4}',
    b'{"key":"a","value":"eA==","rev":3,"as_of":3}',
    b'{"lease":7,"ttl_ms":9000}',
    b'{"rev":5}',
    b'{}',
)
_PEER_BODIES = (
    b'{"instance":"odd0","incarnation":"x","can_host":true}',
    b'{"results":[]}',
    b'{"is_known":true}',
    b'{}',
)
_STAGE_HEADERS = {
    'X-Ragworthollow-Pieces': '1,2',
    'X-Ragworthollow-Piece-Key': 'key',
}


def _check_any_seed(stage, check_seed):
    @settings(
        max_examples=_EXAMPLES,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given_any(seed=st.integers(0, 2**32))
    def check(seed):
        stage.run(check_seed(stage, _FIRST_SEED + seed))

    check()


@then('any garbled answers give no wrong answer, no error and no lost call')
def check_garbled(context):
    _check_any_seed(context.gateway_stage, _check_seed)


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
        # A stream that is broken off has a head; no request goes without one.
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


@then('any garbled answers of a store are results or failures of their calls')
def check_store(context):
    _check_any_seed(context.gateway_stage, _check_store_seed)


async def _check_store_seed(stage, seed):
    server = GarbledServer(
        rng=random.Random(seed),
        headers={'Content-Type': 'application/json', 'Store-Era': '1'},
        bodies=_STORE_BODIES,
    )
    port = stage.ports.take()
    await server.start(port)
    async with aiohttp.ClientSession() as session:
        client = StoreClient(
            session=session,
            base_url=f'http://{server.address}',
            timeout_ms=_STORE_TIMEOUT_MS,
        )
        calls = _list_store_calls(client)
        rng = random.Random(seed)
        for _ in range(_STORE_CALLS):
            async with asyncio.timeout(_CALLER_LIMIT_S):
                outcome = await rng.choice(calls)()
            assert isinstance(outcome, Ok | Err), outcome
    await server.stop()
    assert server.answers


def _list_store_calls(client):
    return (
        lambda: client.read('a'),
        lambda: client.read_prefix(''),
        lambda: client.read_changes('', after_revision=2, max_bytes=1_000_000),
        lambda: client.grant_lease(9000),
        lambda: client.renew_lease(7),
        lambda: client.revoke_lease(7),
        lambda: client.commit(
            compares=(Compare(key='a', revision=3),),
            puts=(Put(key='a', text='x', lease=0),),
        ),
    )


@given('{count:d} peers that answer everything garbled')
def add_garbled_peers(context, count):
    stage = context.gateway_stage
    context.garbled_peers = [
        GarbledServer(
            rng=random.Random(number),
            headers={'Content-Type': 'application/json'},
            bodies=_PEER_BODIES,
        )
        for number in range(count)
    ]
    records = {}
    for number, server in enumerate(context.garbled_peers):
        stage.run(server.start(stage.ports.take()))
        member = {
            'instance': f'odd{number}',
            'incarnation': f'odd{number}-1',
            'peer_address': server.address,
            'failure_domain': 'one',
            # Ranked first, so that all gateways ping them.
            'capacity': 100,
        }
        records[f'gateways/odd{number}'] = msgspec.json.encode(member).decode()
    stage.run(stage.write(records))


@then('after {count:d} garbled answers of one no gateway asks to be shut down')
def check_garbled_peers(context, count):
    stage = context.gateway_stage
    stage.run(
        stage.wait_for(
            lambda: any(
                server.answers >= count for server in context.garbled_peers
            )
        )
    )
    assert not stage.shutdown_requests, stage.shutdown_requests
    for server in context.garbled_peers:
        stage.run(server.stop())
