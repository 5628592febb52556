"""Play requests, crashes and what gateways tell each other of them."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from measure.quarantine_model.scenario import Scenario
from ragworthollow.conf import global_settings
from ragworthollow.quarantine import CrashRegistry, EvidenceExchange

_CRASH_AFTER_MS = 100
_RUN_MS = (300, 3_000)
_DOWN_MS = 3_000
_RETURN_MS = (200, 600)
_MESSAGE_MS = 2
_NEVER = 10**6
_TERM_MS = global_settings.QUARANTINE_MS
_HARMFUL = 'harmful'


@dataclass(kw_only=True, eq=False)
class _Run:
    """Hold one attempt at an engine."""

    fingerprint: str
    gateway: int
    is_resumable: bool
    is_return: bool
    attempts: int = 1
    is_ended: bool = False


@dataclass(kw_only=True)
class _Engine:
    """Hold one engine and what runs there, in the order of its start."""

    number: int
    starts: int = 0
    back_ms: float = 0
    running: dict[_Run, None] = field(default_factory=dict)

    def get_incarnation(self) -> str:
        return f'{self.number}@{self.starts}'


class CrashModel:
    """
    Play one scenario with one seed.

    Parameters
    ----------
    scenario : Scenario
        What is played.
    seed : int
        Of all chance in it.
    """

    def __init__(self, *, scenario: Scenario, seed: int) -> None:
        self.counts: Counter[str] = Counter()
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._now_ms: float = 0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._engines = [
            _Engine(number=number) for number in range(scenario.engines)
        ]
        self._ledgers = [
            CrashRegistry(
                crash_limit=scenario.crash_limit or _NEVER,
                quarantine_ms=_TERM_MS,
            )
            for _ in range(scenario.gateways)
        ]
        self._exchanges = [
            EvidenceExchange(
                incarnation=str(number),
                registry=ledger,
                on_quarantine=lambda _: None,
            )
            for number, ledger in enumerate(self._ledgers)
        ]

    def play(self) -> Counter[str]:
        """Play to the end and return the counts."""
        self._plan_traffic()
        while self._events:
            self._now_ms, _, act = heapq.heappop(self._events)
            act()
        return self.counts

    def _at(self, at_ms: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._order), act))

    def _plan_traffic(self) -> None:
        scenario = self._scenario
        end_ms = scenario.length_s * 1000
        for number, at_ms in enumerate(
            self._draw_times(scenario.requests_per_s),
        ):
            is_hot = self._rng.random() < scenario.hot_share
            run = _Run(
                fingerprint='hot' if is_hot else f'r{number}',
                gateway=self._draw_gateway(),
                is_resumable=self._rng.random() < scenario.resumable_share,
                is_return=False,
            )
            self._at(at_ms, lambda run=run: self._begin(run))
        for number in range(scenario.harmful):
            for at_ms in self._draw_times(scenario.harmful_per_s):
                run = _Run(
                    fingerprint=f'{_HARMFUL}{number}',
                    gateway=self._draw_gateway(),
                    is_resumable=bool(number % 2),
                    is_return=False,
                )
                self._at(at_ms, lambda run=run: self._begin(run))
        for at_ms in self._draw_times(scenario.crashes_per_s):
            self._at(at_ms, self._crash_any)
        for gateway in range(1, scenario.gateways):
            first_ms = self._rng.uniform(0, global_settings.HOST_PING_MS)
            pings = int((end_ms - first_ms) / global_settings.HOST_PING_MS)
            for number in range(pings):
                self._at(
                    first_ms + number * global_settings.HOST_PING_MS,
                    lambda gateway=gateway: self._ping(gateway),
                )

    def _draw_times(self, per_s: float) -> list[float]:
        times = []
        at_ms: float = 0
        while per_s:
            at_ms += self._rng.expovariate(per_s) * 1000
            if at_ms >= self._scenario.length_s * 1000:
                break
            times.append(at_ms)
        return times

    def _draw_gateway(self) -> int:
        return self._rng.randrange(self._scenario.gateways)

    def _begin(self, run: _Run) -> None:
        is_harmful = run.fingerprint.startswith(_HARMFUL)
        if self._ledgers[run.gateway].get_remaining_ms(
            run.fingerprint,
            self._now_ms,
        ):
            self.counts['harmful quarantined' if is_harmful else 'refused'] += 1
            return
        alive = [one for one in self._engines if one.back_ms <= self._now_ms]
        if not alive:
            self.counts['no engine'] += 1
            return
        engine = self._rng.choice(alive)
        engine.running[run] = None
        if is_harmful:
            self.counts['harmful runs'] += 1
            self._at(
                self._now_ms + _CRASH_AFTER_MS,
                lambda: self._crash_by(engine, run),
            )
            return
        self.counts['harmless runs'] += 1
        self._at(
            self._now_ms + self._rng.uniform(*_RUN_MS),
            lambda: self._end(engine, run),
        )

    def _end(self, engine: _Engine, run: _Run) -> None:
        if run.is_ended:
            return
        run.is_ended = True
        engine.running.pop(run, None)
        self.counts['served'] += 1
        self._ledgers[run.gateway].clear(run.fingerprint, self._now_ms)

    def _crash_any(self) -> None:
        self._crash(self._rng.choice(self._engines))

    def _crash_by(self, engine: _Engine, run: _Run) -> None:
        if not run.is_ended:
            self._crash(engine)

    def _crash(self, engine: _Engine) -> None:
        if engine.back_ms > self._now_ms:
            return
        self.counts['crashes'] += 1
        incarnation = engine.get_incarnation()
        ended = tuple(engine.running)
        engine.running.clear()
        engine.starts += 1
        engine.back_ms = self._now_ms + _DOWN_MS
        for run in ended:
            run.is_ended = True
            self._ledgers[run.gateway].record_crash(
                run.fingerprint,
                incarnation,
                self._now_ms,
            )
        witnesses = {run.gateway for run in ended}
        for gateway in witnesses:
            self._ping(gateway)
        for run in ended:
            self._follow(run)

    def _follow(self, run: _Run) -> None:
        """Try again at once, or have the caller come back, or lose it."""
        if not run.is_resumable:
            self._count_lost(run)
            return
        is_own = run.attempts == 1
        later = _Run(
            fingerprint=run.fingerprint,
            gateway=run.gateway if is_own else self._draw_gateway(),
            is_resumable=is_own or not run.is_return,
            is_return=run.is_return or not is_own,
            attempts=2 if is_own else 1,
        )
        pause_ms = _MESSAGE_MS if is_own else self._rng.uniform(*_RETURN_MS)
        self._at(self._now_ms + pause_ms, lambda: self._begin(later))

    def _count_lost(self, run: _Run) -> None:
        if not run.fingerprint.startswith(_HARMFUL):
            self.counts['lost in crashes'] += 1

    def _ping(self, gateway: int) -> None:
        """Have a gateway ask the one that hosts, which is the first."""
        if not gateway:
            return
        question = self._exchanges[gateway].make_update('0', self._now_ms)

        def answer() -> None:
            host = self._exchanges[0]
            if question is not None:
                host.apply_update(str(gateway), question, self._now_ms)
            told = host.make_update(str(gateway), self._now_ms)
            if told is None:
                return
            self._at(
                self._now_ms + _MESSAGE_MS,
                lambda: self._exchanges[gateway].apply_update(
                    '0',
                    told,
                    self._now_ms,
                ),
            )

        self._at(self._now_ms + _MESSAGE_MS, answer)
