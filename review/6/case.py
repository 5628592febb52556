"""A release of engines whose event ids increase by more than one."""

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

NAMES = ('front-a-1', 'front-a-2')
ENGINES = 4
# Half of the engines, the largest share of a release.
REPLACED = 2
CALM_S = 5
# An engine serves for longer than `drain_ms`, 2 s, before it exits.
GAP_S = 3
AFTER_S = 15
EVENTS = 10
TOKENS_PER_EVENT = 4


def make_server(runs: dict, record):
    async def serve(engine, request) -> bool:
        await engine.read_body(request)
        if request.target.startswith('/api/'):
            request.writer.write(make_response(200, request.id, b'{}'))
            return True
        runs[request.id].append(engine.version)
        record.write(f'{engine.id} ({engine.version}) runs {request.id}')
        step = 1 if engine.version == 'v1' else TOKENS_PER_EVENT
        after = int(request.headers.get('last-event-id') or 0)
        request.writer.write(make_response(
            200, request.id, length=False,
            extra=(('Content-Type', 'text/event-stream'),
                   ('Transfer-Encoding', 'chunked')),
        ))
        for number in range(1, EVENTS + 1):
            if number * step <= after:
                continue
            event = f'id: {number * step}\ndata: part {number}\n\n'.encode()
            request.writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await request.writer.drain()
            await asyncio.sleep(0.02)
        request.writer.write(b'0\r\n\r\n')
        await request.writer.drain()
        return True

    return serve


async def chat(gateways, rng, outcomes, record) -> None:
    """Send one request after the other on kept channels."""
    callers = {name: Caller(gateways.ports[name][0]) for name in NAMES}
    while True:
        await asyncio.sleep(0.1)
        request_id = make_id(rng)
        name = rng.choice(NAMES)
        record.write(f'request {request_id} is sent to {name}')
        answer = await callers[name].ask(
            'POST', '/chat/x',
            {
                'Host': 'desk.example',
                'X-Ragworthollow-Request-Id': request_id,
                'X-Ragworthollow-Deadline-Ms': '6000',
                'X-Ragworthollow-Token-Usage': '100,40',
                'Authorization': 'Bearer key-of-tenant',
            },
            b'a question', limit_s=8,
        )
        outcomes[request_id] = answer
        record.write(
            f'request {request_id}: {answer.status}, {len(answer.body)} bytes, '
            f'{"whole" if answer.whole else answer.error}'
        )


async def play(record, is_troubled: bool) -> bool:
    rng = random.Random(6)
    store = Store()
    await store.start()
    runs: dict[str, list] = collections.defaultdict(list)
    serve = make_server(runs, record)
    old = [Engine(store, 'llm', serve, slots=64) for _ in range(ENGINES)]
    for engine in old:
        await engine.start()
    store.put('op/config', make_config(
        1, [make_service('llm')],
        [make_route('r-1', 'desk.example', '/chat/', 'stream', 'llm',
                    timeout_ms=6000, slo_ms=1400, gap_aim_ms=400)],
        [{'name': 'tenant', 'api_keys': ['key-of-tenant']}],
    ))
    gateways = Gateways(store, record)
    for name in NAMES:
        gateways.add(name)
        gateways.start(name)
    if not await gateways.wait_ready(NAMES):
        raise RuntimeError('the gateways are not ready')
    outcomes: dict[str, object] = {}
    chats = [
        asyncio.ensure_future(chat(gateways, rng, outcomes, record))
        for _ in range(4)
    ]
    await asyncio.sleep(CALM_S)
    for engine in old[:REPLACED] if is_troubled else ():
        new = Engine(store, 'llm', serve, slots=64)
        new.version = 'v2'
        await new.start()
        record.write(f'{new.id} of version v2 starts, {engine.id} drains')
        engine.state = 'draining'
        engine.report()
        await asyncio.sleep(GAP_S)
        await engine.stop()
    if not is_troubled:
        await asyncio.sleep(REPLACED * GAP_S)
    await asyncio.sleep(AFTER_S)
    for chatting in chats:
        chatting.cancel()
    lost = [
        request_id
        for request_id, answer in outcomes.items()
        if runs.get(request_id) and answer.was_kept
        and not answer.whole and not answer.body and not answer.gave_up
    ]
    record.write(f'passed on from kept channels, closed without an event: '
                 f'{len(lost)} of {len(outcomes)}')
    print(f'closed without an event: {len(lost)} of {len(outcomes)}')
    gateways.kill_all()
    return len(lost) > 3


run_case(play)
