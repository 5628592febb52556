"""Simulate requests, crashes and the evidence that gateways exchange."""

import heapq
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from measure.quarantine_model.scenario import Scenario
from ragworthollow.conf import global_settings
from ragworthollow.quarantine import (
    CrashRegistry,
    EvidenceExchange,
    QuarantineLimits,
    RunningRequest,
)
from ragworthollow.quarantine.fingerprint import PART_PREFIX

_CRASH_AFTER_MS = 100
# From the moment at which a request with a harmful part reaches an engine: it
# waits, its prompt is read, and the first tokens are generated.
_PART_CRASH_AFTER_MS = (100, 1_000)
# After this many crashes, and the time in which gateways must have heard of
# them, no more than three requests with a harmful part may reach an engine.
_ALLOWED_PART_CRASHES = 5
_CONTACT_MS = 3_000
_RUN_TIME_MS = (300, 3_000)
_RESTART_MS = 3_000
_CALLER_RETRY_MS = (200, 600)
_MESSAGE_DELAY_MS = 2
_NO_CRASH_LIMIT = 10**6
_HARMFUL = 'harmful'


@dataclass(kw_only=True, eq=False)
class _Attempt:
    """Represent one attempt of a request at an engine."""

    fingerprint: str
    parts: tuple[str, ...]
    gateway: int
    is_resumable: bool
    is_caller_retry: bool
    attempt_number: int = 1
    is_ended: bool = False
    started_ms: float = 0

    def get_fingerprints(self) -> tuple[str, ...]:
        return (self.fingerprint, *self.parts)

    def get_harmful_part(self) -> str:
        """Return the part that crashes engines; empty if there is none."""
        return next((part for part in self.parts if _HARMFUL in part), '')


@dataclass(kw_only=True)
class _Engine:
    """Represent one engine and its attempts, in start order."""

    number: int
    restarts: int = 0
    available_ms: float = 0
    running: dict[_Attempt, None] = field(default_factory=dict)

    def get_incarnation(self) -> str:
        return f'{self.number}@{self.restarts}'


class CrashModel:
    """
    Simulate one scenario with one seed.

    Parameters
    ----------
    scenario : Scenario
        Scenario to simulate.
    seed : int
        Seed of the random number generator.
    """

    def __init__(self, *, scenario: Scenario, seed: int) -> None:
        self.counts: Counter[str] = Counter()
        # Late runs by harmful part.
        self.late_part_runs: Counter[str] = Counter()
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._now_ms: float = 0
        self._sequence = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._engines = [
            _Engine(number=number) for number in range(scenario.engines)
        ]
        self._registries = [
            CrashRegistry(
                limits=QuarantineLimits(
                    crashes=scenario.crash_limit or _NO_CRASH_LIMIT,
                    part_crashes=(scenario.part_crash_limit or _NO_CRASH_LIMIT),
                    sound_part_crashes=(
                        global_settings.QUARANTINE_SOUND_PART_CRASHES
                        if scenario.part_crash_limit
                        else _NO_CRASH_LIMIT
                    ),
                )
            )
            for _ in range(scenario.gateways)
        ]
        self._exchanges = [
            EvidenceExchange(
                incarnation=str(number),
                registry=registry,
            )
            for number, registry in enumerate(self._registries)
        ]
        self._part_crash_times_ms: defaultdict[str, list[float]] = defaultdict(
            list
        )

    def play(self) -> Counter[str]:
        """Run the simulation to the end and return the counts."""
        self._schedule_traffic()
        while self._events:
            self._now_ms, _, action = heapq.heappop(self._events)
            action()
        return self.counts

    def _schedule(self, at_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._sequence), action))

    def _schedule_traffic(self) -> None:
        scenario = self._scenario
        end_ms = scenario.length_s * 1000
        for number, at_ms in enumerate(
            self._draw_times(scenario.requests_per_s),
        ):
            is_hot = self._rng.random() < scenario.hot_share
            attempt = _Attempt(
                fingerprint='hot' if is_hot else f'r{number}',
                parts=self._draw_parts(),
                gateway=self._draw_gateway(),
                is_resumable=self._rng.random() < scenario.resumable_share,
                is_caller_retry=False,
            )
            self._schedule(
                at_ms, lambda attempt=attempt: self._start_attempt(attempt)
            )
        for number in range(scenario.harmful):
            parts = self._draw_parts()
            for at_ms in self._draw_times(scenario.harmful_per_s):
                if at_ms < scenario.harmful_from_s * 1000:
                    continue
                attempt = _Attempt(
                    fingerprint=f'{_HARMFUL}{number}',
                    parts=parts,
                    gateway=self._draw_gateway(),
                    is_resumable=bool(number % 2),
                    is_caller_retry=False,
                )
                self._schedule(
                    at_ms, lambda attempt=attempt: self._start_attempt(attempt)
                )
        self._schedule_harmful_parts()
        for at_ms in self._draw_times(scenario.crashes_per_s):
            self._schedule(at_ms, self._crash_random_engine)
        for at_ms in self._draw_times(scenario.outages_per_s):
            self._schedule(at_ms, self._crash_together)
        for gateway in range(1, scenario.gateways):
            first_ms = self._rng.uniform(0, global_settings.HOST_PING_MS)
            pings = int((end_ms - first_ms) / global_settings.HOST_PING_MS)
            for number in range(pings):
                self._schedule(
                    first_ms + number * global_settings.HOST_PING_MS,
                    lambda gateway=gateway: self._ping(gateway),
                )

    def _schedule_harmful_parts(self) -> None:
        for number in range(self._scenario.harmful_parts):
            harmful = f'{PART_PREFIX}{_HARMFUL}{number}'
            template = self._draw_template()
            first_ms = self._scenario.harmful_from_s * 1000
            for at_ms in self._draw_times(self._scenario.harmful_part_per_s):
                if at_ms < first_ms:
                    continue
                attempt = _Attempt(
                    fingerprint=f'p{number}-{at_ms}',
                    parts=(template, harmful),
                    gateway=self._draw_gateway(),
                    is_resumable=bool(number % 2),
                    is_caller_retry=False,
                )
                self._schedule(
                    at_ms, lambda attempt=attempt: self._start_attempt(attempt)
                )

    def _draw_template(self) -> str:
        return f'{PART_PREFIX}t{self._rng.randrange(self._scenario.templates)}'

    def _draw_parts(self) -> tuple[str, ...]:
        if not self._scenario.templates:
            return ()
        document = self._rng.randrange(self._scenario.documents)
        return (self._draw_template(), f'{PART_PREFIX}d{document}')

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

    def _start_attempt(self, attempt: _Attempt) -> None:
        harmful_part = attempt.get_harmful_part()
        is_harmful = attempt.fingerprint.startswith(_HARMFUL) or harmful_part
        if self._registries[attempt.gateway].get_remaining_ms(
            attempt.get_fingerprints(),
            self._now_ms,
        ):
            self.counts['harmful quarantined' if is_harmful else 'refused'] += 1
            return
        available = [
            candidate
            for candidate in self._engines
            if candidate.available_ms <= self._now_ms
        ]
        if not available:
            self.counts['no engine'] += 1
            return
        engine = self._rng.choice(available)
        engine.running[attempt] = None
        attempt.started_ms = self._now_ms
        if harmful_part:
            self._count_part_run(harmful_part)
            self._schedule(
                self._now_ms + self._rng.uniform(*_PART_CRASH_AFTER_MS),
                lambda: self._crash_unless_ended(engine, attempt),
            )
            return
        if is_harmful:
            self.counts['harmful runs'] += 1
            self._schedule(
                self._now_ms + _CRASH_AFTER_MS,
                lambda: self._crash_unless_ended(engine, attempt),
            )
            return
        self.counts['harmless runs'] += 1
        self._schedule(
            self._now_ms + self._rng.uniform(*_RUN_TIME_MS),
            lambda: self._complete_attempt(engine, attempt),
        )

    def _complete_attempt(self, engine: _Engine, attempt: _Attempt) -> None:
        if attempt.is_ended:
            return
        attempt.is_ended = True
        engine.running.pop(attempt, None)
        self.counts['served'] += 1
        for fingerprint in attempt.get_fingerprints():
            self._registries[attempt.gateway].record_success(
                fingerprint, self._now_ms
            )

    def _count_part_run(self, part: str) -> None:
        self.counts['part runs'] += 1
        crash_times_ms = self._part_crash_times_ms[part]
        if (
            len(crash_times_ms) >= _ALLOWED_PART_CRASHES
            and self._now_ms
            > crash_times_ms[_ALLOWED_PART_CRASHES - 1] + _CONTACT_MS
        ):
            self.counts['late part runs'] += 1
            self.late_part_runs[part] += 1

    def _crash_random_engine(self) -> None:
        self._crash(self._rng.choice(self._engines))

    def _crash_together(self) -> None:
        count = round(self._scenario.outage_share * len(self._engines))
        for engine in self._rng.sample(self._engines, count):
            self._crash(engine)

    def _crash_unless_ended(self, engine: _Engine, attempt: _Attempt) -> None:
        if attempt.is_ended:
            return
        part = attempt.get_harmful_part()
        if part:
            self._part_crash_times_ms[part].append(self._now_ms)
            self.counts['part crashes'] += 1
        self._crash(engine)

    def _crash(self, engine: _Engine) -> None:
        if engine.available_ms > self._now_ms:
            return
        self.counts['crashes'] += 1
        incarnation = engine.get_incarnation()
        lost = tuple(engine.running)
        engine.running.clear()
        engine.restarts += 1
        engine.available_ms = self._now_ms + _RESTART_MS
        for attempt in lost:
            attempt.is_ended = True
            self._registries[attempt.gateway].record_loss(attempt.parts)
            self._registries[attempt.gateway].record_crash(
                RunningRequest(
                    fingerprint=attempt.fingerprint,
                    part_fingerprints=attempt.parts,
                    started_ms=attempt.started_ms,
                ),
                incarnation,
                self._now_ms,
            )
        witnesses = {attempt.gateway for attempt in lost}
        for gateway in witnesses:
            self._ping(gateway)
        for attempt in lost:
            self._retry_or_count_lost(attempt)

    def _retry_or_count_lost(self, attempt: _Attempt) -> None:
        """Schedule a retry by the gateway or the caller, or count a loss."""
        if not attempt.is_resumable:
            self._count_lost(attempt)
            return
        is_gateway_retry = attempt.attempt_number == 1
        retry = _Attempt(
            fingerprint=attempt.fingerprint,
            parts=attempt.parts,
            gateway=attempt.gateway
            if is_gateway_retry
            else self._draw_gateway(),
            is_resumable=is_gateway_retry or not attempt.is_caller_retry,
            is_caller_retry=attempt.is_caller_retry or not is_gateway_retry,
            attempt_number=2 if is_gateway_retry else 1,
        )
        delay_ms = (
            _MESSAGE_DELAY_MS
            if is_gateway_retry
            else self._rng.uniform(*_CALLER_RETRY_MS)
        )
        self._schedule(
            self._now_ms + delay_ms, lambda: self._start_attempt(retry)
        )

    def _count_lost(self, attempt: _Attempt) -> None:
        is_harmful = attempt.fingerprint.startswith(_HARMFUL)
        if not is_harmful and not attempt.get_harmful_part():
            self.counts['lost in crashes'] += 1

    def _ping(self, gateway: int) -> None:
        """Exchange evidence with the host, which is the first gateway."""
        if not gateway:
            return
        request_update = self._exchanges[gateway].make_update('0', self._now_ms)

        def respond() -> None:
            host = self._exchanges[0]
            if request_update is not None:
                host.apply_update(str(gateway), request_update, self._now_ms)
            response_update = host.make_update(str(gateway), self._now_ms)
            if response_update is None:
                return
            self._schedule(
                self._now_ms + _MESSAGE_DELAY_MS,
                lambda: self._exchanges[gateway].apply_update(
                    '0',
                    response_update,
                    self._now_ms,
                ),
            )

        self._schedule(self._now_ms + _MESSAGE_DELAY_MS, respond)
