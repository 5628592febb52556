"""Send requests with a harmful prompt part while gateways are disturbed."""

import asyncio
import random
import sys
import time
from collections import Counter
from dataclasses import dataclass, field

import aiohttp
import cyclopts
import msgspec

from measure.gateway_fleet import GatewayBreakage, GatewayFleet, run_on_fleet
from tests.fixtures.gateways import API_KEY, HOST

_POOL = 'plain'
_ENGINES = 5
_RESTART_S = (1.0, 2.0)
_POLL_S = 0.05
_HARMFUL_PAUSE_S = (0.1, 0.4)
_HARMLESS_PAUSE_S = (0.02, 0.15)
_HARMLESS_CALLERS = 4
_WARM_UP_S = 3
_LIMIT_MS = 3_000
_TEMPLATES = ('c0de', 'c0ffee')
_HARMFUL_PART = 'bad0'
# The users allow three requests with the part that are sent later than this
# after the fifth instance has ended.
_ALLOWED_CRASHES = 5
_ALLOWED_LATE = 3
_CONTACT_S = 3
_OK = 200
# Requests with the template of the harmful ones count from this time after the
# fifth crash.
_SERVED_FROM_S = 2 * _CONTACT_S

app = cyclopts.App(
    name='harmful_part_soak', help='Randomised run with a harmful prompt part.'
)


@dataclass(kw_only=True)
class _Request:
    """Remember one request."""

    request_id: str
    gateway: str
    sent_s: float
    is_harmful: bool
    ended_s: float = 0
    status: int | None = None
    has_run: bool = False


@dataclass(kw_only=True)
class _Engines:
    """Keep the pool complete: an instance that has ended comes back anew."""

    fleet: GatewayFleet
    rng: random.Random
    crash_times_s: list[float] = field(default_factory=list)
    _listed: set[str] = field(default_factory=set)
    _count: int = 0

    async def start(self) -> None:
        self._listed.update(self.fleet.upstreams)
        self._count = len(self._listed)
        while len(self._listed) < _ENGINES:
            await self._add()

    async def run(self) -> None:
        while True:
            await asyncio.sleep(_POLL_S)
            for name in tuple(self._listed):
                if self.fleet.upstreams[name].has_crashed:
                    self.crash_times_s.append(time.monotonic())
                    self._listed.discard(name)
                    asyncio.ensure_future(self._replace(name))

    async def _replace(self, name: str) -> None:
        await asyncio.sleep(self.rng.uniform(*_RESTART_S))
        await self.fleet.remove_instance(name)
        await self._add()

    async def _add(self) -> None:
        self._count += 1
        name = f'e{self._count}'
        await self.fleet.add_upstream(name, _POOL)
        self._listed.add(name)


class _Caller:
    """
    Send requests to gateways that are ready, each on a connection of its own.

    Parameters
    ----------
    name : str
        Prefix of the identifiers of its requests.
    fleet : GatewayFleet
        Where to send them.
    rng : Random
        Makes the choices repeatable.
    is_harmful : bool
        Whether the requests have the harmful part.
    """

    def __init__(
        self,
        *,
        name: str,
        fleet: GatewayFleet,
        rng: random.Random,
        is_harmful: bool,
    ) -> None:
        self.sent: list[_Request] = []
        self._name = name
        self._fleet = fleet
        self._rng = rng
        self._is_harmful = is_harmful

    async def run(self) -> None:
        pause_s = _HARMFUL_PAUSE_S if self._is_harmful else _HARMLESS_PAUSE_S
        while True:
            await asyncio.sleep(self._rng.uniform(*pause_s))
            ready = self._fleet.get_ready()
            if ready:
                asyncio.ensure_future(self._send(self._rng.choice(ready)))

    async def _send(self, gateway: str) -> None:
        number = len(self.sent)
        request = _Request(
            request_id=f'{self._name}-{number:05}',
            gateway=gateway,
            sent_s=time.monotonic(),
            is_harmful=self._is_harmful,
        )
        self.sent.append(request)
        kind = self._rng.choice(('stream', 'resumable'))
        ending = 'crash' if self._is_harmful else 'paced?5'
        port = self._fleet.front_ports[gateway]
        try:
            async with self._fleet.session.post(
                f'http://{HOST}:{port}/{kind}/{request.request_id}/{ending}',
                headers={
                    'Host': 'service.example',
                    'Authorization': f'Bearer {API_KEY}',
                    'X-Ragworthollow-Request-Id': request.request_id,
                    'X-Ragworthollow-Deadline-Ms': str(_LIMIT_MS),
                    'X-Ragworthollow-Prefix-Hash': self._choose_parts(number),
                    'Connection': 'close',
                },
                data=request.request_id.encode(),
            ) as response:
                await response.read()
                request.status = response.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            request.status = None
        request.ended_s = time.monotonic()

    def _choose_parts(self, number: int) -> str:
        if self._is_harmful:
            shared = (_TEMPLATES[0], _HARMFUL_PART)
        else:
            document = f'd{self._rng.randrange(10)}'
            shared = (self._rng.choice(_TEMPLATES), document)
        return ','.join(f'{part}:40' for part in (*shared, f'{number:x}'))


async def run_soak(fleet: GatewayFleet, seed: int, seconds: float) -> dict:
    """Disturb gateways while requests with a harmful part come."""
    rng = random.Random(seed)
    breakage = GatewayBreakage(fleet=fleet, rng=random.Random(rng.random()))
    engines = _Engines(fleet=fleet, rng=random.Random(rng.random()))
    harmful = _Caller(
        name='bad',
        fleet=fleet,
        rng=random.Random(rng.random()),
        is_harmful=True,
    )
    harmless = [
        _Caller(
            name=f'c{number}',
            fleet=fleet,
            rng=random.Random(rng.random()),
            is_harmful=False,
        )
        for number in range(_HARMLESS_CALLERS)
    ]
    await fleet.start_all()
    await engines.start()
    tasks = [asyncio.ensure_future(one.run()) for one in (engines, *harmless)]
    await asyncio.sleep(_WARM_UP_S)
    tasks.append(asyncio.ensure_future(harmful.run()))
    await breakage.run(seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    sent = [one for caller in (harmful, *harmless) for one in caller.sent]
    return _summarise(fleet, sent, engines.crash_times_s, breakage.counts)


def _summarise(
    fleet: GatewayFleet,
    sent: list[_Request],
    crash_times_s: list[float],
    counts: Counter[str],
) -> dict:
    for one in sent:
        one.has_run = any(
            upstream.count_runs(one.request_id)
            for upstream in fleet.upstreams.values()
        )
    harmful = [one for one in sent if one.is_harmful]
    harmless = [one for one in sent if not one.is_harmful]
    fifth_s = (
        sorted(crash_times_s)[_ALLOWED_CRASHES - 1]
        if len(crash_times_s) >= _ALLOWED_CRASHES
        else max(crash_times_s, default=0)
    )
    late = [
        one
        for one in harmful
        if one.has_run
        and one.sent_s > fifth_s + _CONTACT_S
        and _is_calm(fleet, one)
    ]
    after = [
        one
        for one in harmless
        if one.sent_s > fifth_s + _SERVED_FROM_S and _is_calm(fleet, one)
    ]
    return {
        'harmful': len(harmful),
        'harmful_run': sum(one.has_run for one in harmful),
        'crashes': len(crash_times_s),
        'late': len(late),
        'harmless': len(harmless),
        'harmless_after': len(after),
        'harmless_after_served': sum(one.status == _OK for one in after),
        'disturbed': counts,
    }


def _is_calm(fleet: GatewayFleet, request: _Request) -> bool:
    """Tell whether a gateway was undisturbed before a request and during it."""
    began_s = request.sent_s - _CONTACT_S
    times_s = [*fleet.starts[request.gateway], *fleet.stops[request.gateway]]
    return not any(
        began_s <= time_s <= request.ended_s for time_s in times_s
    ) and not any(
        one.gateway == request.gateway
        and one.began_s <= request.ended_s
        and one.ended_s >= began_s
        for one in fleet.disturbances
    )


def count_faults(summary: dict) -> int:
    """Return how many of the two rules are broken."""
    is_unserved = (
        summary['harmless_after_served'] * 2 < summary['harmless_after']
    )
    return (summary['late'] > _ALLOWED_LATE) + is_unserved


def run(*, seed: int, seconds: float, gateways: int) -> dict:
    """Run a soak from start to end."""
    return run_on_fleet(gateways, lambda fleet: run_soak(fleet, seed, seconds))


@app.default
def main(*, seed: int = 1, seconds: float = 20, gateways: int = 4) -> None:
    summary = run(seed=seed, seconds=seconds, gateways=gateways)
    line = {'seed': seed, 'seconds': seconds, **summary}
    print(msgspec.json.encode(line).decode())
    sys.exit(1 if count_faults(summary) else 0)


if __name__ == '__main__':
    app()
