"""Run both deployments with their main job and count what came of it."""

import asyncio
import sys
import time

import msgspec

from measure.caller import Callers, summarise
from measure.fleet import Fleet

_REQUESTS = 200
_RATE = 40.0


async def run_deployment(name: str, requests: int, rate: float) -> dict:
    started = time.monotonic()
    fleet = Fleet(name, seed=1)
    try:
        await fleet.start()
        print(
            f'{name}: {len(fleet.plan.instances)} daemons ready after'
            f' {time.monotonic() - started:.1f} s',
            file=sys.stderr,
            flush=True,
        )
        callers = Callers(fleet=fleet, seed=1)
        balancing = asyncio.ensure_future(callers.balancer.run())
        tasks = []
        for number in range(requests):
            tasks.append(
                asyncio.ensure_future(callers.send_and_repeat(callers.make())),
            )
            await asyncio.sleep(1 / rate)
            if number % 50 == 49:
                print(f'{name}: {number + 1} sent', file=sys.stderr, flush=True)
        await asyncio.gather(*tasks)
        balancing.cancel()
        summary = await summarise(fleet, callers)
        summary['violations'] = await fleet.count_violations()
        return summary
    finally:
        await fleet.stop()


async def main() -> None:
    totals: dict[str, float] = {}
    attainments = []
    for name in ('kingston', 'riga'):
        summary = await run_deployment(name, _REQUESTS, _RATE)
        print(f'{name}: {summary}', file=sys.stderr, flush=True)
        attainments.append(summary.pop('attainment'))
        summary.pop('reasons')
        for key, count in summary.items():
            totals[key] = totals.get(key, 0) + count
    totals['attainment'] = round(sum(attainments) / len(attainments), 4)
    print(msgspec.json.encode(totals).decode())
    broken = sum(totals[key] for key in ('lost', 'doubled', 'crossed'))
    sys.exit(1 if broken or totals['violations'] else 0)


if __name__ == '__main__':
    asyncio.run(main())
