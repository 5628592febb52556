"""Use gateways on open connections while they are stopped at random."""

import asyncio
import random
import sys
from collections import Counter

import cyclopts
import msgspec

from measure.gateway_caller import GatewayCaller
from measure.gateway_fleet import GatewayBreakage, GatewayFleet, run_on_fleet
from measure.sent_request import Sent
from measure.spoiled_streams import SpoiledStreamCaller, is_spoiled, is_stream
from ragworthollow.conf import global_settings
from tests.standins.upstream import EVENT_COUNT

_CALLERS = 16
_SPOILED_STREAM_CALLERS = 6
_OK = 200
_REFUSED = 503
# Earliest exit of a gateway that ends its stop with requests in flight.
_STOP_LIMIT_S = (
    global_settings.GATEWAY_GRACE_S
    - global_settings.GATEWAY_STOP_MARGIN_MS / 1000
    - global_settings.GATEWAY_FINAL_RESPONSES_MS / 1000
)
_FAULTS = ('cut_by_stop', 'truncated', 'doubled', 'crossed', 'false_not_run')

app = cyclopts.App(name='gateway_soak', help='Randomised run of gateways.')


class Judge:
    """
    Tell what became of each request.

    Parameters
    ----------
    fleet : GatewayFleet
        Where the requests were sent.
    """

    def __init__(self, *, fleet: GatewayFleet) -> None:
        self._fleet = fleet

    def judge(self, sent: Sent) -> None:
        """Set the verdict of a request."""
        sent.runs = sum(
            upstream.count_runs(sent.request_id)
            for upstream in self._fleet.upstreams.values()
        )
        sent.verdict = self._find_verdict(sent)

    def is_late(self, sent: Sent) -> bool:
        """Return whether a request was sent to a gateway that was stopping."""
        stop_s = self._find_stop(sent)
        return stop_s is not None and stop_s < sent.started_s

    def _find_verdict(self, sent: Sent) -> str:
        if sent.runs > 1 and sent.path.startswith('/unsafe/'):
            return 'doubled'
        if sent.status == _OK and sent.request_id not in sent.body:
            return 'crossed'
        if sent.status == _REFUSED and sent.runs:
            return 'false_not_run'
        if sent.status == _OK:
            return 'answered' if self._is_whole(sent) else 'truncated'
        if sent.status is not None:
            return f'{sent.status}'
        return self._find_cut(sent) if sent.runs else 'not_run'

    def _is_whole(self, sent: Sent) -> bool:
        return sent.body.count(sent.request_id) == (
            EVENT_COUNT if is_stream(sent.path) else 1
        )

    def _find_cut(self, sent: Sent) -> str:
        kinds = {
            one.kind
            for one in self._fleet.disturbances
            if one.gateway == sent.gateway
            and one.began_s <= sent.ended_s
            and one.ended_s >= sent.started_s
        }
        for kind in ('kill', 'freeze'):
            if kind in kinds:
                return f'cut_beside_{kind}'
        if is_spoiled(sent.path):
            return 'broken_by_upstream'
        is_long = is_stream(sent.path)
        if is_long and sent.ended_s - sent.started_s > sent.limit_ms / 1000:
            return 'stream_at_time_limit'
        stop_s = self._find_stop(sent)
        if is_long and stop_s and sent.ended_s - stop_s > _STOP_LIMIT_S:
            return 'stream_at_stop_limit'
        return 'cut_by_stop'

    def _find_stop(self, sent: Sent) -> float | None:
        """Return the time of SIGTERM of the process that got a request."""
        starts = self._fleet.starts[sent.gateway]
        process_start_s = max(
            (start_s for start_s in starts if start_s < sent.started_s),
            default=0,
        )
        stops = self._fleet.stops[sent.gateway]
        return next(
            (
                stop_s
                for stop_s in stops
                if process_start_s < stop_s < sent.ended_s
            ),
            None,
        )


async def run_gateway_soak(
    fleet: GatewayFleet, seed: int, seconds: float
) -> dict:
    """Disturb gateways under load, and count what became of the requests."""
    rng = random.Random(seed)
    breakage = GatewayBreakage(fleet=fleet, rng=random.Random(rng.random()))
    callers = [
        GatewayCaller(
            name=f'c{number}', fleet=fleet, rng=random.Random(rng.random())
        )
        for number in range(_CALLERS)
    ]
    callers += [
        SpoiledStreamCaller(
            name=f's{number}', fleet=fleet, rng=random.Random(rng.random())
        )
        for number in range(_SPOILED_STREAM_CALLERS)
    ]
    await fleet.start_all()
    calling = [asyncio.ensure_future(caller.run()) for caller in callers]
    await breakage.run(seconds)
    await fleet.wait_for(
        lambda: not any(caller.is_waiting() for caller in callers)
    )
    for task in calling:
        task.cancel()
    outcomes = await asyncio.gather(*calling, return_exceptions=True)
    for outcome in outcomes:
        if not isinstance(outcome, asyncio.CancelledError):
            raise outcome
    sent = [one for caller in callers for one in caller.sent]
    return _summarise(fleet, sent, breakage.counts)


def _summarise(
    fleet: GatewayFleet, sent: list[Sent], counts: Counter[str]
) -> dict:
    judge = Judge(fleet=fleet)
    for one in sent:
        judge.judge(one)
    verdicts = Counter(one.verdict for one in sent)
    faulty = [one for one in sent if one.verdict in _FAULTS]
    path = fleet.folder / 'failures.json'
    path.write_bytes(
        msgspec.json.encode(
            {
                'faulty': faulty,
                'starts': fleet.starts,
                'stops': fleet.stops,
                'disturbances': fleet.disturbances,
            }
        )
    )
    return {
        'sent': len(sent),
        'sent_while_stopping': sum(map(judge.is_late, sent)),
        **dict.fromkeys(_FAULTS, 0),
        **verdicts,
        'stops': sum(map(len, fleet.stops.values())),
        'exit_codes': {
            str(code): count for code, count in fleet.exit_codes.items()
        },
        'disturbed': counts,
    }


def count_faults(summary: dict) -> int:
    """Return the number of requests that must not occur."""
    return sum(summary[name] for name in _FAULTS)


def run(*, seed: int, seconds: float, gateways: int) -> dict:
    """Run a soak from start to end."""
    return run_on_fleet(
        gateways, lambda fleet: run_gateway_soak(fleet, seed, seconds)
    )


@app.default
def main(*, seed: int = 1, seconds: float = 20, gateways: int = 4) -> None:
    summary = run(seed=seed, seconds=seconds, gateways=gateways)
    line = {'seed': seed, 'seconds': seconds, **summary}
    print(msgspec.json.encode(line).decode())
    sys.exit(1 if count_faults(summary) else 0)


if __name__ == '__main__':
    app()
