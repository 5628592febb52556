"""Measure how long a leaving instance and an old configuration last."""

import asyncio
import time

import msgspec

from measure.caller import Callers
from measure.fleet import Fleet

_RATE = 60
_ROUNDS = 6
_QUIET_S = 4
_POOL = 'portal'


async def measure_leaving(fleet: Fleet, callers: Callers) -> dict:
    """List instances as leaving under load; note their last new call."""
    tasks: set[asyncio.Task] = set()

    async def load() -> None:
        while True:
            task = asyncio.ensure_future(
                callers.send(callers.make('gate-check'))
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1 / _RATE)

    loading = asyncio.ensure_future(load())
    delays = []
    for number in range(_ROUNDS):
        one = fleet.plan.get(f'{_POOL}-{number % 4}')
        await asyncio.sleep(2)
        started = time.monotonic()
        await fleet.set_listed(one.name, state='leaving')
        last = started
        calls = await fleet.get_json(one.upstream_port, '/calls')
        while time.monotonic() < last + _QUIET_S:
            found = await fleet.get_json(one.upstream_port, '/calls')
            if found != calls:
                calls, last = found, time.monotonic()
            await asyncio.sleep(0.02)
        delays.append(round(last - started, 2))
        await fleet.set_listed(one.name, state='live')
    loading.cancel()
    await asyncio.gather(*tasks)
    return {'last_call_after_leaving_s': sorted(delays)}


async def measure_change(fleet: Fleet, *, platform_fails: bool) -> list[float]:
    """Apply changes; note when each is in force in every process."""
    delays = []
    folder = fleet.folder / 'configuration-of-storefronts'
    path = folder / '20-storefronts.yaml'
    for number in range(_ROUNDS):
        path.write_text(f'{path.read_text()}# {platform_fails} {number}\n')
        if platform_fails:
            await fleet.set_faults(fleet.plan.kv_port, down_after_manifest=1)
        before = (await fleet.get_status('entry-0'))['generation']
        applying = asyncio.ensure_future(
            asyncio.to_thread(
                fleet.run_tool,
                'storefronts',
                'apply',
                str(folder),
                '--owner',
                'storefronts',
                '--yes',
            ),
        )
        accepted = None
        behind = {one.name for one in fleet.plan.instances}
        while behind:
            for name in list(behind):
                status = await fleet.get_status(name)
                if status is not None and status['generation'] > before:
                    behind.discard(name)
                    accepted = accepted or time.monotonic()
        delays.append(round(time.monotonic() - accepted, 2))
        await applying
        await fleet.set_faults(fleet.plan.kv_port)
    return sorted(delays)


async def main() -> None:
    fleet = Fleet('riga', seed=5)
    try:
        await fleet.start()
        report = {
            'list_lag_s': 0.5,
            'in_force_s': await measure_change(fleet, platform_fails=False),
            'in_force_platform_down_s': await measure_change(
                fleet,
                platform_fails=True,
            ),
        }
        callers = Callers(fleet=fleet, seed=5)
        report.update(await measure_leaving(fleet, callers))
        print(msgspec.json.encode(report).decode())
    finally:
        await fleet.stop()


if __name__ == '__main__':
    asyncio.run(main())
