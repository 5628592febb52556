"""Measure what entry and sidecar add to calling the upstreams directly."""

import asyncio
import sys
import time
from statistics import median

import aiohttp
import msgspec

from measure.caller import Callers
from measure.fleet import Fleet
from measure.fleet_plan import HOST
from measure.process_usage import read_usage
from ragworthollow.configuration import Pipeline

_PAIRS = 300
_LOAD_S = 8
_CONCURRENCY = 24
_PIPELINE = 'certificate-drafting'


async def call_directly(
    session: aiohttp.ClientSession,
    fleet: Fleet,
    pipeline: Pipeline,
) -> None:
    """Call the stand-ins one after the other, as one's own program would."""
    for stage in pipeline.stages:
        port = fleet.plan.get_pool(stage.pool)[0].upstream_port
        stage_input = {'input': {'subject': 'direct'}, 'previous': None}
        if stage.kind == 'generate':
            path = '/v1/completions'
            body = {
                'model': stage.model,
                'adapter': stage.adapter,
                'prompt': stage_input,
                'max_tokens': stage.max_tokens,
                'cache_salt': 'direct',
                'user': 'direct',
            }
        else:
            path = '/v1/calls' if stage.kind == 'plain' else f'/v1/{stage.kind}'
            body = {
                'request_id': 'direct',
                'operation': stage.operation,
                'input': stage_input,
            }
        url = f'http://{HOST}:{port}{path}'
        async with session.post(url, json=body) as response:
            await response.read()


def get_quantile(samples: list[float], share: float) -> float:
    ordered = sorted(samples)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


async def measure_latency(fleet: Fleet, callers: Callers) -> dict:
    """Pair each request with the same calls made directly."""
    pipeline = callers.deployment.pipelines[_PIPELINE]
    direct, whole = [], []
    for _ in range(_PAIRS):
        started = time.perf_counter()
        await call_directly(fleet.session, fleet, pipeline)
        direct.append((time.perf_counter() - started) * 1000)
        sent = callers.make(_PIPELINE)
        started = time.perf_counter()
        outcome = await callers.send(
            sent,
            address=fleet.entries[0].address,
            stream=False,
        )
        whole.append((time.perf_counter() - started) * 1000)
        assert outcome == 'done', sent
    return {
        'direct_p50_ms': round(median(direct), 2),
        'whole_p50_ms': round(median(whole), 2),
        'added_p50_ms': round(median(whole) - median(direct), 2),
        'direct_p99_ms': round(get_quantile(direct, 0.99), 2),
        'whole_p99_ms': round(get_quantile(whole, 0.99), 2),
        'added_p99_ms': round(
            get_quantile(whole, 0.99) - get_quantile(direct, 0.99),
            2,
        ),
    }


async def measure_throughput(fleet: Fleet, callers: Callers) -> dict:
    """Load one entry and divide its requests by its processor time."""
    names = ['entry-0', 'ragworth-pool-0', 'encoder-pool-0', 'ledger-api-0']
    pids = {name: fleet.processes.get_pid(name) for name in names}
    before = {name: read_usage(pid) for name, pid in pids.items()}
    started = time.monotonic()
    end = started + _LOAD_S
    done = 0

    async def work() -> None:
        nonlocal done
        while time.monotonic() < end:
            outcome = await callers.send(
                callers.make(_PIPELINE),
                address=fleet.entries[0].address,
                stream=False,
            )
            done += outcome == 'done'

    await asyncio.gather(*(work() for _ in range(_CONCURRENCY)))
    elapsed = time.monotonic() - started
    after = {name: read_usage(pid) for name, pid in pids.items()}
    cpu_s = after['entry-0'].cpu_s - before['entry-0'].cpu_s
    return {
        'requests_per_s': round(done / elapsed, 1),
        'entry_cpu_ms_per_request': round(cpu_s * 1000 / done, 2),
        'requests_per_s_and_core': round(done / cpu_s, 1),
        'resident_mib_idle': {
            name: round(usage.resident_mib, 1) for name, usage in before.items()
        },
        'resident_mib_loaded': {
            name: round(usage.resident_mib, 1) for name, usage in after.items()
        },
    }


async def main() -> None:
    fleet = Fleet('kingston', seed=3)
    try:
        await fleet.start()
        callers = Callers(fleet=fleet, seed=3)
        report = await measure_latency(fleet, callers)
        print('latency measured', file=sys.stderr, flush=True)
        report.update(await measure_throughput(fleet, callers))
        print(msgspec.json.encode(report).decode())
    finally:
        await fleet.stop()


if __name__ == '__main__':
    asyncio.run(main())
