"""Use gateways on open connections while they are stopped at random."""

import asyncio
import random
import sys
import time
from collections import Counter

import cyclopts
import msgspec

from measure.gateway_fleet import GatewayBreakage, GatewayFleet
from ragworthollow.conf import global_settings
from tests.fixtures.open_connection import OpenConnection
from tests.standins.upstream import EVENT_COUNT

_CALLERS = 16
_RESPONSE_LIMIT_S = 10
_RECONNECT_S = 0.05
_STREAM_PATH = '/stream/'
_NEW_CONNECTION_RATIO = 0.2
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


class Sent(msgspec.Struct, kw_only=True):
    """Remember one request of a caller, and what became of it."""

    request_id: str
    path: str
    limit_ms: int
    gateway: str
    is_first: bool
    started_s: float
    ended_s: float = 0
    status: int | None = None
    body: str = ''
    runs: int = 0
    verdict: str = ''


class GatewayCaller:
    """
    Send requests to one gateway until its process is gone, then to another.

    Parameters
    ----------
    name : str
        Prefix of the identifiers of its requests.
    fleet : GatewayFleet
        Where to send them.
    rng : Random
        Makes the choices repeatable.
    """

    def __init__(
        self, *, name: str, fleet: GatewayFleet, rng: random.Random
    ) -> None:
        self._name = name
        self._fleet = fleet
        self._rng = rng
        self._gateway = rng.choice(tuple(fleet.front_ports))
        self._connection: OpenConnection | None = None
        self._is_first = True
        self.sent: list[Sent] = []

    def is_waiting(self) -> bool:
        """Return whether a request has been sent and has not ended."""
        return bool(self.sent) and not self.sent[-1].ended_s

    async def run(self) -> None:
        while True:
            await asyncio.sleep(self._choose_pause_s())
            if self._connection is not None and self._connection.has_ended():
                self._disconnect()
            if self._connection is None:
                await self._connect()
            is_last = await self._send(self._connection)
            if is_last or self._rng.random() < _NEW_CONNECTION_RATIO:
                self._disconnect()

    def _choose_pause_s(self) -> float:
        longest_s = self._rng.choice((0.1, 1, 4, 6))
        return self._rng.uniform(0, longest_s)

    def _choose_path(self) -> str:
        kind = self._rng.choice(('safe', 'unsafe', 'unsafe', 'stream'))
        if kind == 'stream':
            pause_ms = self._rng.choice((10, 50, 300))
            return f'{_STREAM_PATH}paced?{pause_ms}'
        return f'/{kind}/delay?{self._rng.randint(5, 300)}'

    def _choose_limit_ms(self, path: str) -> int:
        # A stopping gateway refuses requests that may outlast its stop.
        if path.startswith(_STREAM_PATH):
            return self._rng.choice((2500, 4000))
        return self._rng.choice((600, 1000, 2500))

    async def _connect(self) -> None:
        while self._connection is None:
            port = self._fleet.front_ports[self._gateway]
            connection = OpenConnection(port=port)
            try:
                await connection.open()
            except OSError:
                self._gateway = self._rng.choice(tuple(self._fleet.front_ports))
                await asyncio.sleep(_RECONNECT_S)
            else:
                self._connection = connection
                self._is_first = True

    def _disconnect(self) -> None:
        self._connection.close()
        self._connection = None

    async def _send(self, connection: OpenConnection) -> bool:
        """Send a request; return whether its connection is of no more use."""
        path = self._choose_path()
        sent = Sent(
            # Of one length: none is a part of another.
            request_id=f'{self._name}-{len(self.sent):04}',
            path=path,
            limit_ms=self._choose_limit_ms(path),
            gateway=self._gateway,
            is_first=self._is_first,
            started_s=time.monotonic(),
        )
        self._is_first = False
        self.sent.append(sent)
        connection.send(sent.path, sent.request_id, limit_ms=sent.limit_ms)
        try:
            response = await asyncio.wait_for(
                connection.read_response(), _RESPONSE_LIMIT_S
            )
        except TimeoutError:
            return True
        finally:
            sent.ended_s = time.monotonic()
        sent.status = response.status
        sent.body = response.body.decode('latin-1')
        return response.is_last or response.status is None


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
        is_stream = sent.path.startswith(_STREAM_PATH)
        return sent.body.count(sent.request_id) == (
            EVENT_COUNT if is_stream else 1
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
        is_stream = sent.path.startswith(_STREAM_PATH)
        if is_stream and sent.ended_s - sent.started_s > sent.limit_ms / 1000:
            return 'stream_at_time_limit'
        stop_s = self._find_stop(sent)
        if is_stream and stop_s and sent.ended_s - stop_s > _STOP_LIMIT_S:
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
    fleet = GatewayFleet(size=gateways)
    print(f'logs: {fleet.folder}', file=sys.stderr, flush=True)
    try:
        summary = fleet.run(run_gateway_soak(fleet, seed, seconds))
    finally:
        fleet.run(fleet.close())
        fleet.loop.close()
    return {**summary, 'logs': str(fleet.folder)}


@app.default
def main(*, seed: int = 1, seconds: float = 20, gateways: int = 4) -> None:
    summary = run(seed=seed, seconds=seconds, gateways=gateways)
    line = {'seed': seed, 'seconds': seconds, **summary}
    print(msgspec.json.encode(line).decode())
    sys.exit(1 if count_faults(summary) else 0)


if __name__ == '__main__':
    app()
