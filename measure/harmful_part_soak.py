"""Send requests with a harmful prompt part while gateways are disturbed."""

import asyncio
import random
import sys
from collections import Counter
from collections.abc import Coroutine

import cyclopts
import msgspec

from measure.gateway_caller import GatewayCaller
from measure.gateway_fleet import GatewayBreakage, GatewayFleet, run_on_fleet
from measure.prompt_callers import (
    HarmfulPromptCaller,
    PromptCaller,
    is_harmful,
)
from measure.restarting_pool import RestartingPool
from measure.sent_request import Sent

_CALLERS = 8
_HARMFUL_CALLERS = 2
_WARM_UP_S = 3
# The users allow three requests with the part that are sent later than this
# after the fifth instance has ended.
_ALLOWED_CRASHES = 5
_ALLOWED_LATE = 3
_CONTACT_S = 3
# From this time after the fifth crash, requests with the template of the
# harmful ones have to be served at least half as often as without them.
_SERVED_FROM_S = 2 * _CONTACT_S
_OK = 200

app = cyclopts.App(
    name='harmful_part_soak', help='Randomised run with a harmful prompt part.'
)


async def run_soak(fleet: GatewayFleet, seed: int, seconds: float) -> dict:
    """Disturb gateways while requests with a harmful part come."""
    rng = random.Random(seed)
    breakage = GatewayBreakage(fleet=fleet, rng=random.Random(rng.random()))
    await fleet.start_all()
    pool = RestartingPool(fleet=fleet, rng=random.Random(rng.random()))
    harmless = _make_callers(PromptCaller, _CALLERS, fleet, rng)
    harmful = _make_callers(HarmfulPromptCaller, _HARMFUL_CALLERS, fleet, rng)
    tasks = _start(pool.run(), *(caller.run() for caller in harmless))
    await asyncio.sleep(_WARM_UP_S)
    tasks += _start(*(caller.run() for caller in harmful))
    await breakage.run(seconds)
    for task in tasks:
        task.cancel()
    for outcome in await asyncio.gather(*tasks, return_exceptions=True):
        if not isinstance(outcome, asyncio.CancelledError):
            raise outcome
    sent = [one for caller in (*harmless, *harmful) for one in caller.sent]
    return _summarise(fleet, sent, pool.crash_times_s, breakage.counts)


def _make_callers(
    make: type[GatewayCaller],
    count: int,
    fleet: GatewayFleet,
    rng: random.Random,
) -> list[GatewayCaller]:
    return [
        make(
            name=f'{make.__name__[0].lower()}{number}',
            fleet=fleet,
            rng=random.Random(rng.random()),
        )
        for number in range(count)
    ]


def _start(*coroutines: Coroutine) -> list[asyncio.Task]:
    return list(map(asyncio.ensure_future, coroutines))


def _summarise(
    fleet: GatewayFleet,
    sent: list[Sent],
    crash_times_s: list[float],
    counts: Counter[str],
) -> dict:
    for one in sent:
        one.runs = sum(
            upstream.count_runs(one.request_id)
            for upstream in fleet.upstreams.values()
        )
    fifth_s = max(sorted(crash_times_s)[:_ALLOWED_CRASHES], default=0)
    ended = [one for one in sent if one.ended_s and _is_calm(fleet, one)]
    late = [
        one
        for one in ended
        if is_harmful(one.path)
        and one.runs
        and one.started_s > fifth_s + _CONTACT_S
    ]
    after = [
        one
        for one in ended
        if not is_harmful(one.path) and one.started_s > fifth_s + _SERVED_FROM_S
    ]
    harmful = [one for one in sent if is_harmful(one.path)]
    return {
        'harmful': len(harmful),
        'harmful_run': sum(bool(one.runs) for one in harmful),
        'crashes': len(crash_times_s),
        'late': len(late),
        'harmless': len(sent) - len(harmful),
        'harmless_after': len(after),
        'harmless_after_served': sum(one.status == _OK for one in after),
        'disturbed': counts,
    }


def _is_calm(fleet: GatewayFleet, sent: Sent) -> bool:
    """Return whether a gateway was undisturbed before and during a request."""
    began_s = sent.started_s - _CONTACT_S
    start_s = max(
        one for one in fleet.starts[sent.gateway] if one < sent.ended_s
    )
    is_stopping = any(
        start_s <= stop_s <= sent.ended_s
        for stop_s in fleet.stops[sent.gateway]
    )
    is_disturbed = any(
        one.gateway == sent.gateway
        and one.began_s <= sent.ended_s
        and one.ended_s >= began_s
        for one in fleet.disturbances
    )
    return start_s < began_s and not is_stopping and not is_disturbed


def count_faults(summary: dict) -> int:
    """Return how many of the two rules are broken."""
    is_unserved = (
        summary['harmless_after_served'] * 2 < summary['harmless_after']
    )
    return (summary['late'] > _ALLOWED_LATE) + is_unserved


def run(*, seed: int, seconds: float, gateways: int) -> dict:
    """Run a soak from start to end."""
    return run_on_fleet(
        GatewayFleet(size=gateways),
        lambda fleet: run_soak(fleet, seed, seconds),
    )


@app.default
def main(*, seed: int = 1, seconds: float = 20, gateways: int = 4) -> None:
    summary = run(seed=seed, seconds=seconds, gateways=gateways)
    line = {'seed': seed, 'seconds': seconds, **summary}
    print(msgspec.json.encode(line).decode())
    sys.exit(1 if count_faults(summary) else 0)


if __name__ == '__main__':
    app()
