"""Use gateways on open connections while they are stopped at random."""

import asyncio
import random
import sys
from collections import Counter

import cyclopts
import msgspec

from measure.burst_caller import BurstCaller
from measure.engine_breakage import EngineBreakage
from measure.faulty_fleet import FaultyFleet
from measure.gateway_caller import GatewayCaller
from measure.gateway_fleet import GatewayBreakage, GatewayFleet, run_on_fleet
from measure.gateway_judge import FAULTS, GatewayJudge
from measure.release_breakage import ReleaseBreakage
from measure.resuming_caller import ResumingCaller
from measure.resumption_figures import count_resumptions, find_versions
from measure.sent_request import Sent
from measure.spoiled_streams import SpoiledStreamCaller

_CALLERS = 16
_SPOILED_STREAM_CALLERS = 6
_RESUMING_CALLERS = 24
_RESUMING_PREFIX = 'r'
_MIN_BURST_CALLERS = 30
_BURST_CALLERS_PER_GATEWAY = 4
_REPORTED_OF_EACH = 5
# Sent before anything else is disturbed, so that no run is without them.
_FIRST_REJECTIONS = 20

app = cyclopts.App(name='gateway_soak', help='Randomised run of gateways.')


async def run_gateway_soak(
    fleet: GatewayFleet, seed: int, seconds: float, *, has_versions: bool
) -> dict:
    """Disturb gateways under load, and count what became of the requests."""
    rng = random.Random(seed)
    breakage_rng = random.Random(rng.random())
    callers = [
        *_make_callers(GatewayCaller, 'c', _CALLERS, fleet, rng),
        *_make_callers(
            SpoiledStreamCaller, 's', _SPOILED_STREAM_CALLERS, fleet, rng
        ),
    ]
    await fleet.start_all()
    running = []
    releases = ReleaseBreakage(fleet=fleet)
    breakage = GatewayBreakage(
        fleet=fleet,
        rng=breakage_rng,
        more_series=(
            (releases.release, releases.lose_all) if has_versions else ()
        ),
    )
    if has_versions:
        callers += _make_callers(
            ResumingCaller, _RESUMING_PREFIX, _RESUMING_CALLERS, fleet, rng
        )
    if isinstance(fleet, FaultyFleet):
        count = max(
            _MIN_BURST_CALLERS,
            _BURST_CALLERS_PER_GATEWAY * len(fleet.front_ports),
        )
        callers += _make_callers(BurstCaller, 'b', count, fleet, rng)
        engine_breakage = EngineBreakage(
            fleet=fleet, rng=random.Random(rng.random())
        )
        running.append(asyncio.ensure_future(engine_breakage.run()))
    running += [asyncio.ensure_future(caller.run()) for caller in callers]
    if isinstance(fleet, FaultyFleet):
        await fleet.wait_for_second_rejections(_FIRST_REJECTIONS)
    await breakage.run(seconds)
    await fleet.wait_for(
        lambda: not any(caller.is_waiting() for caller in callers)
    )
    for task in running:
        task.cancel()
    outcomes = await asyncio.gather(*running, return_exceptions=True)
    for outcome in outcomes:
        if not isinstance(outcome, asyncio.CancelledError):
            raise outcome
    sent = [one for caller in callers for one in caller.sent]
    return _summarise(fleet, seed, sent, breakage.counts + releases.counts)


def _make_callers(
    make: type[GatewayCaller],
    prefix: str,
    count: int,
    fleet: GatewayFleet,
    rng: random.Random,
) -> list[GatewayCaller]:
    return [
        make(
            name=f'{prefix}{number:03}',
            fleet=fleet,
            rng=random.Random(rng.random()),
        )
        for number in range(count)
    ]


def _summarise(
    fleet: GatewayFleet, seed: int, sent: list[Sent], counts: Counter[str]
) -> dict:
    judge = GatewayJudge(fleet=fleet, sent=sent)
    for one in sent:
        judge.judge(one)
    verdicts = Counter(one.verdict for one in sent)
    faulty = [one for one in sent if one.verdict in FAULTS]
    reports = [{'seed': seed, **judge.describe(one)} for one in faulty]
    for fault in FAULTS:
        alike = [one for one in reports if one['verdict'] == fault]
        for report in alike[:_REPORTED_OF_EACH]:
            print(msgspec.json.encode(report).decode(), file=sys.stderr)
    path = fleet.folder / 'failures.json'
    path.write_bytes(
        msgspec.json.encode(
            {
                'faulty': reports,
                'starts': fleet.starts,
                'stops': fleet.stops,
                'disturbances': fleet.disturbances,
            }
        )
    )
    return {
        'sent': len(sent),
        'sent_while_stopping': sum(map(judge.is_late, sent)),
        **dict.fromkeys(FAULTS, 0),
        **verdicts,
        'stops': sum(map(len, fleet.stops.values())),
        'exit_codes': {
            str(code): count for code, count in fleet.exit_codes.items()
        },
        'disturbed': counts,
        'engines': fleet.count_engine_faults(),
        'streams': count_resumptions(
            fleet,
            [
                one
                for one in sent
                if one.request_id.startswith(_RESUMING_PREFIX)
                and not judge.is_late(one)
            ],
            find_versions(sent),
        ),
    }


def count_faults(summary: dict) -> int:
    """Return the number of requests that must not occur."""
    return sum(summary[name] for name in FAULTS)


def run(
    *,
    seed: int,
    seconds: float,
    gateways: int,
    has_faulty_engines: bool,
    has_versions: bool = False,
) -> dict:
    """Run a soak from start to end."""
    fleet = (
        FaultyFleet(size=gateways, rng=random.Random(seed))
        if has_faulty_engines
        else GatewayFleet(size=gateways)
    )
    return run_on_fleet(
        fleet,
        lambda started: run_gateway_soak(
            started, seed, seconds, has_versions=has_versions
        ),
    )


@app.default
def main(
    *,
    seed: int = 1,
    seconds: float = 20,
    gateways: int = 4,
    faulty_engines: bool = True,
    versions: bool = False,
) -> None:
    summary = run(
        seed=seed,
        seconds=seconds,
        gateways=gateways,
        has_faulty_engines=faulty_engines,
        has_versions=versions,
    )
    line = {'seed': seed, 'seconds': seconds, **summary}
    print(msgspec.json.encode(line).decode())
    sys.exit(1 if count_faults(summary) else 0)


if __name__ == '__main__':
    app()
