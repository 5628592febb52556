"""Steps for streamed generation and for repeatable stages."""

import asyncio
import time

from behave import given, then, when

from measure.fleet import get_caller_key

_ENGINES = 'ragworth-pool'
_ENCODERS = 'encoder-pool'
_TIMEOUT_S = 30


def _set_faults(context, pool, **faults):
    fleet = context.stage.fleet
    for instance in fleet.plan.get_pool(pool):
        context.stage.run(fleet.set_faults(instance.upstream_port, **faults))


def _inject_engine_faults(context, **faults):
    # A request may fail after four attempts, so with faults in all five
    # engines its outcome would be random.
    fleet = context.stage.fleet
    for instance in fleet.plan.get_pool(_ENGINES)[:3]:
        context.stage.run(fleet.set_faults(instance.upstream_port, **faults))


async def _sum_counts(fleet, path, field):
    counts = [
        await fleet.get_json(engine.upstream_port, path)
        for engine in fleet.plan.get_pool(_ENGINES)
    ]
    return sum(engine[field] for engine in counts)


@given('three of five engines disconnect in their next stream')
def break_streams(context):
    _inject_engine_faults(context, truncate=1, left=1)


@given('three of five engines cross their next answer')
def cross_streams(context):
    _inject_engine_faults(context, cross=1, left=1)


@given('the engines are slow')
def slow_engines(context):
    _set_faults(context, _ENGINES, slow_ms=50)


@given('the engines behave')
def clear_engine_faults(context):
    _set_faults(context, _ENGINES)


@given('the encoders behave')
def clear_encoder_faults(context):
    _set_faults(context, _ENCODERS)


@when('{count:d} streamed requests are sent')
def send_streams(context, count):
    stage = context.stage
    context.requests = [
        stage.callers.make('lot-summaries') for _ in range(count)
    ]

    async def send_all():
        await asyncio.gather(
            *(
                stage.callers.send(request, stream=True)
                for request in context.requests
            ),
        )

    stage.run(send_all())


@when('{count:d} requests of any kind are sent')
def send_any(context, count):
    stage = context.stage
    context.requests = [stage.callers.make() for _ in range(count)]

    async def send_all():
        for request in context.requests:
            await stage.callers.send(request)

    stage.run(send_all())


@then('a resumed stream was counted')
def check_resumed(context):
    stage = context.stage

    async def read_metrics():
        texts = []
        for entry in stage.fleet.entries:
            url = f'http://{entry.address}/metrics'
            async with stage.fleet.session.get(url) as response:
                texts.append(await response.text())
        return '\n'.join(texts)

    lines = stage.run(read_metrics()).splitlines()
    assert any(
        line.startswith('ragworthollow_retries_total') and 'summarise' in line
        for line in lines
    ), lines


@when('a caller disconnects after the first token')
def disconnect_from_stream(context):
    fleet = context.stage.fleet

    async def disconnect():
        context.cancelled_before = await _sum_counts(
            fleet, '/counts', 'cancelled'
        )
        async with fleet.session.post(
            f'http://{fleet.entries[0].address}/v1/pipelines/lot-summaries',
            json={'deadline_ms': 3000, 'inputs': {}, 'stream': True},
            headers={'Authorization': f'Bearer {get_caller_key("buyers")}'},
        ) as response:
            await response.content.readline()
            response.close()

    context.stage.run(disconnect())


@then('an engine cancels its work')
def check_cancelled(context):
    fleet = context.stage.fleet

    async def wait():
        end = time.monotonic() + _TIMEOUT_S
        while time.monotonic() < end:
            count = await _sum_counts(fleet, '/counts', 'cancelled')
            if count > context.cancelled_before:
                return True
            await asyncio.sleep(0.05)
        return False

    assert context.stage.run(wait())


@given('one encoder fails every call')
def fail_encoder(context):
    fleet = context.stage.fleet
    context.failing_encoder = fleet.plan.get_pool(_ENCODERS)[0]
    context.stage.run(
        fleet.set_faults(
            context.failing_encoder.upstream_port, fail=1, left=1000
        ),
    )


@then('it was tried for fewer than half of them')
def check_avoided(context):
    fleet = context.stage.fleet
    metrics_request = fleet.session.get(
        f'http://{context.failing_encoder.address}/metrics'
    )

    async def read_metrics():
        async with metrics_request as response:
            return await response.text()

    failed = sum(
        float(line.split()[-1])
        for line in context.stage.run(read_metrics()).splitlines()
        if line.startswith('ragworthollow_attempts_total')
        and 'outcome="failed"' in line
    )
    assert failed < len(context.requests) / 2, failed
