"""A record in the list of engines, by another writer, ends every gateway."""

import asyncio
import collections
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common-2'))
from harness import (
    Caller, Engine, Gateways, Store, make_config, make_id, make_response,
    make_route, make_service, run_case,
)

NAMES = ('front-a-1', 'front-a-2', 'front-a-3')
CALM_S = 6
WATCHED_S = 30
# Digits after the colon of the address in the record of the other writer.
DIGITS = 5000


def make_server(record):
    async def serve(engine, request) -> bool:
        await engine.read_body(request)
        record.write(f'{engine.id} runs {request.id}')
        request.writer.write(
            make_response(200, request.id, request.id.encode())
        )
        await request.writer.drain()
        return True

    return serve


async def call(gateways, served, record, rng) -> None:
    """Send a request every 100 ms, each on a new channel."""
    while True:
        await asyncio.sleep(0.1)
        request_id = make_id(rng)
        name = rng.choice(NAMES)
        caller = Caller(gateways.ports[name][0])
        record.write(f'request {request_id} is sent to {name}')
        answer = await caller.ask(
            'GET', '/lookup/x',
            {
                'Host': 'desk.example',
                'X-Ragworthollow-Request-Id': request_id,
                'X-Ragworthollow-Deadline-Ms': '1500',
                'Authorization': 'Bearer key-of-tenant',
            },
            limit_s=3,
        )
        caller.close()
        served.append((time.monotonic(), answer.status))
        record.write(
            f'request {request_id} answered {answer.status} {answer.error}'
        )


async def play(record, is_troubled: bool) -> bool:
    rng = random.Random(4)
    store = Store()
    await store.start()
    for _ in range(2):
        await Engine(store, 'desk', make_server(record)).start()
    store.put('op/config', make_config(
        1, [make_service('desk')],
        [make_route('r-1', 'desk.example', '/lookup/', 'safe', 'desk')],
        [{'name': 'tenant', 'api_keys': ['key-of-tenant']}],
    ))
    # The bounds and contracts of the deployment whose page names the entries.
    gateways = Gateways(
        store, record, retry_slack=90, configuration_bound_ms=3000,
        leaving_bound_ms=3000, domain_drain_bound_ms=5000,
        warm_up_burst_ratio=1.5, warm_up_burst_slack=5,
        platform_contracts=[
            'base', 'drain', 'config', 'cost', 'retry', 'recover', 'health',
            'pool', 'engine', 'stream', 'tenants', 'places', 'pressure',
            'platform', 'stages',
        ],
    )
    for name in NAMES:
        gateways.add(name)
        gateways.start(name)
    supervision = asyncio.ensure_future(gateways.supervise())
    if not await gateways.wait_ready(NAMES):
        raise RuntimeError('the gateways are not ready')
    served: list[tuple[float, int]] = []
    calling = asyncio.ensure_future(call(gateways, served, record, rng))
    await asyncio.sleep(CALM_S)
    written_s = time.monotonic()
    if is_troubled:
        record.write(f'another writer writes servers/i-foreign, '
                     f'an address with {DIGITS} digits as its port')
        store.put('servers/i-foreign', {
            'backend': 'desk', 'addr': '127.0.0.1:' + '9' * DIGITS,
            'zone': 'zone-a', 'version': 'v1', 'slots': 8, 'state': 'ready',
            'cold_left_ms': 0, 'seq': 1, 'born': 1,
        })
    await asyncio.sleep(WATCHED_S)
    calling.cancel()
    supervision.cancel()
    ends = collections.Counter(
        name for name, _, at_s in gateways.own_ends if at_s > written_s
    )
    late = [status for at_s, status in served if at_s > written_s + 15]
    share = late.count(200) / max(1, len(late))
    record.write(f'ended by themselves: {dict(ends)}')
    record.write(f'served from 15 s after: {share:.3f} of {len(late)}')
    print(f'ended by themselves: {dict(ends)}; served later: {share:.3f}')
    gateways.kill_all()
    # The bench's fault: three ends on a tenth of the machines, two at least.
    return sum(count >= 3 for count in ends.values()) >= 2


run_case(play)
