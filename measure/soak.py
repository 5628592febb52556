"""Run a fleet under load while it is being broken, and count what failed."""

import asyncio
import random
import sys
import time
from typing import Annotated

import cyclopts
import msgspec

from measure.breakage import Breakage
from measure.caller import Callers, summarise
from measure.fleet import Fleet

_RATE = 30.0
_SETTLE_LIMIT_S = 60
_REPEATS = 6

app = cyclopts.App(name='soak', help='Randomised run with real processes.')


class GenerationWatch:
    """
    Notice a process that goes back to an earlier configuration.

    Parameters
    ----------
    fleet : Fleet
        What to watch.
    """

    def __init__(self, *, fleet: Fleet) -> None:
        self._fleet = fleet
        self._known: dict[tuple[str, str], int] = {}
        self.reverted = 0

    async def run(self) -> None:
        while True:
            for one in self._fleet.plan.instances:
                status = await self._fleet.get_status(one.name)
                if status is not None:
                    self._note(status)
            await asyncio.sleep(0.5)

    def _note(self, status: dict) -> None:
        process = (status['instance'], status['incarnation'])
        if status['generation'] < self._known.get(process, 0):
            self.reverted += 1
        self._known[process] = status['generation']


async def change_configuration(fleet: Fleet, seed: int) -> int:
    """Let rival operators change their files again and again."""
    rng = random.Random(f'changes/{seed}')
    accepted = 0
    while True:
        await asyncio.sleep(rng.uniform(1, 5))
        operator = rng.choice(fleet.plan.file.operators)
        folder = fleet.folder / f'configuration-of-{operator}'
        for path in folder.glob('*.yaml'):
            if f'owner: {operator}' in path.read_text():
                with path.open('a') as changed:
                    changed.write(f'# note {rng.random()}\n')
        await asyncio.to_thread(
            fleet.run_tool,
            operator,
            'apply',
            str(folder),
            '--owner',
            operator,
            '--yes',
        )
        accepted += 1


async def run_soak(deployment: str, seed: int, seconds: float) -> dict:
    fleet = Fleet(deployment, seed=seed, settings={'lease_ttl_ms': 4000})
    try:
        await fleet.start()
        callers = Callers(fleet=fleet, seed=seed)
        breakage = Breakage(fleet=fleet, seed=seed)
        watch = GenerationWatch(fleet=fleet)
        background = [
            asyncio.ensure_future(callers.balancer.run()),
            asyncio.ensure_future(watch.run()),
            asyncio.ensure_future(change_configuration(fleet, seed)),
        ]
        breaking = asyncio.ensure_future(breakage.run(seconds))
        await load(callers, breaking, seed)
        for task in background[1:]:
            task.cancel()
        await settle(fleet)
        await repeat_unknown(callers)
        summary = await summarise(fleet, callers)
        summary['cut_by_stop'] = count_cut_by_stop(callers, breakage)
        summary['reverted'] = watch.reverted
        dump_failures(fleet, callers)
        summary['violations'] = await fleet.count_violations()
        summary['faults'] = dict(breakage.counts)
        background[0].cancel()
        return summary
    finally:
        await fleet.stop()
        print(f'logs: {fleet.folder}', file=sys.stderr, flush=True)


async def load(callers: Callers, breaking: asyncio.Task, seed: int) -> None:
    rng = random.Random(f'load/{seed}')
    tasks = []
    while not breaking.done():
        sent = callers.make()
        tasks.append(asyncio.ensure_future(callers.send_and_repeat(sent)))
        if sent.key and rng.random() < 0.1:
            # The same key at the same time through another entry.
            tasks.append(asyncio.ensure_future(callers.send(sent)))
        await asyncio.sleep(rng.expovariate(_RATE))
    await breaking
    await asyncio.gather(*tasks)


async def settle(fleet: Fleet) -> None:
    """Wait until everything has recovered by itself."""
    await fleet.publish_instances()
    await asyncio.wait_for(fleet.wait_ready(), _SETTLE_LIMIT_S)
    end = time.monotonic() + _SETTLE_LIMIT_S
    while time.monotonic() < end:
        statuses = [
            await fleet.get_status(one.name) for one in fleet.plan.instances
        ]
        generations = {one['generation'] for one in statuses if one}
        if len(generations) == 1:
            return
        await asyncio.sleep(0.2)
    raise TimeoutError(f'generations differ: {generations}')


async def repeat_unknown(callers: Callers) -> None:
    """Ask once more for every key whose answer is not known."""
    for sent in callers.sent:
        if sent.key and 'done' not in sent.outcomes:
            await callers.send(sent)


def dump_failures(fleet: Fleet, callers: Callers) -> None:
    """Keep what became of each request without an answer, to be studied."""
    failed = [sent for sent in callers.sent if 'done' not in sent.outcomes]
    path = fleet.folder / 'failures.json'
    path.write_bytes(msgspec.json.encode(failed))


def count_cut_by_stop(callers: Callers, breakage: Breakage) -> int:
    return sum(
        attempt.outcome == 'cut'
        and not breakage.was_broken(
            attempt.address,
            attempt.started,
            attempt.ended,
        )
        for sent in callers.sent
        for attempt in sent.attempts
    )


@app.default
def main(
    *,
    seed: int = 1,
    seconds: float = 60,
    deployment: Annotated[str, cyclopts.Parameter(help='Empty: by seed.')] = '',
) -> None:
    name = deployment or ('kingston', 'riga')[seed % 2]
    summary = asyncio.run(run_soak(name, seed, seconds))
    print(
        msgspec.json.encode(
            {'seed': seed, 'seconds': seconds, 'deployment': name, **summary},
        ).decode(),
    )
    names = ('lost', 'doubled', 'crossed', 'false_not_run', 'cut_by_stop')
    broken = sum(summary[name] for name in (*names, 'reverted', 'violations'))
    sys.exit(1 if broken else 0)


if __name__ == '__main__':
    app()
