"""Drive the decisions over a small fake of two pools in virtual time."""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

from measure.policies import FifoQueue, OurQueue, Policy, Router, make_report
from measure.scenarios import CAPACITY_PER_S, SPAN_MS, Scenario
from ragworthollow.admission import CapacityShare, Ticket
from ragworthollow.conf import global_settings
from ragworthollow.platform import InstanceEntry
from ragworthollow.routing import PeerState
from ragworthollow_daemon.entry.estimates import Estimates

ENTRIES = 3
DEADLINE_MS = 700
NETWORK_MS = 1
# Per stage: instances, slots and time of a call.
STAGES = ((3, 8, 8.0), (6, 4, 100.0))
SHARES = {
    'a': CapacityShare(guarantee=0.4, weight=2),
    'b': CapacityShare(guarantee=0.3, weight=1),
    'c': CapacityShare(guarantee=0.2, weight=1),
    'd': CapacityShare(guarantee=0.1, weight=1),
}
_ARRIVALS = {'a': 0.4, 'b': 0.3, 'c': 0.2, 'd': 0.1}
_WORTHS = (1, 1, 2, 5)


@dataclass
class Request:
    number: int
    organisation: str
    worth: float
    arrived_ms: float
    entry: int
    stage: int = 0
    attempts: int = 0
    done_ms: float | None = None
    is_over: bool = False
    busy_ms: float = 0
    tried: set[str] = field(default_factory=set)


@dataclass
class Instance:
    name: str
    stage: int
    queue: object
    factor: float = 1
    is_failing: bool = False
    is_lost: bool = False
    prefixes: set[str] = field(default_factory=set)
    log: list = field(default_factory=list)


class SimulatedPool:
    """
    Let requests pass two stages under one policy.

    Parameters
    ----------
    policy : Policy
        Column of the table.
    scenario : Scenario
        Row of the table.
    seed : int
        Makes the run repeatable.
    """

    def __init__(self, policy: Policy, scenario: Scenario, seed: int) -> None:
        self.policy = policy
        self.scenario = scenario
        self.rng = random.Random(f'{scenario.name}/{seed}')
        self.now_ms = 0.0
        self.requests: list[Request] = []
        self.busy: Counter[int] = Counter()
        self.further = 0
        self._events: list = []
        self._order = itertools.count()
        self._tickets: dict[int, tuple[Request, Instance, Router]] = {}
        self._instances = self._make_instances()
        self._estimates = [Estimates() for _ in range(ENTRIES)]
        self._routers = self._make_routers()

    def run(self) -> None:
        self._schedule_arrivals()
        if self.scenario.lost:
            self._at(3000, self._lose)
        if self.scenario.outage:
            self._at(2000, lambda: self._set_outage(is_failing=True))
            self._at(3000, lambda: self._set_outage(is_failing=False))
        while self._events:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()

    def _make_instances(self) -> list[list[Instance]]:
        pools = []
        for stage, (count, slots, service_ms) in enumerate(STAGES):
            pool = []
            for number in range(count):
                if self.policy.has_admission:
                    queue = OurQueue(
                        capacity=slots,
                        service_ms=service_ms,
                        shares=SHARES,
                    )
                else:
                    queue = FifoQueue(capacity=slots)
                pool.append(
                    Instance(
                        name=f'{stage}-{number}', stage=stage, queue=queue
                    ),
                )
            pools.append(pool)
        for one in pools[-1][: self.scenario.slow]:
            one.factor = 10
        for one in pools[-1][: self.scenario.failing]:
            one.is_failing = True
        return pools

    def _make_routers(self) -> list[list[Router]]:
        return [
            [
                Router(
                    policy=self.policy,
                    peers=[_make_peer(one) for one in pool],
                    rng=random.Random(entry),
                )
                for pool in self._instances
            ]
            for entry in range(ENTRIES)
        ]

    def _schedule_arrivals(self) -> None:
        moment = 0.0
        while moment < SPAN_MS:
            load = self.scenario.load
            if self.scenario.burst and 2000 <= moment < 4000:
                load = self.scenario.burst
            rates = dict(_ARRIVALS)
            if self.scenario.greedy:
                rates['d'] *= 10
            per_ms = load * CAPACITY_PER_S / 1000 * sum(rates.values())
            moment += self.rng.expovariate(per_ms)
            organisation = self.rng.choices(
                list(rates),
                weights=list(rates.values()),
            )[0]
            request = Request(
                number=len(self.requests),
                organisation=organisation,
                worth=self.rng.choice(_WORTHS),
                arrived_ms=moment,
                entry=self.rng.randrange(ENTRIES),
            )
            self.requests.append(request)
            self._at(moment, lambda one=request: self._arrive(one))

    def _at(self, moment_ms: float, action) -> None:
        heapq.heappush(self._events, (moment_ms, next(self._order), action))

    def _arrive(self, request: Request) -> None:
        estimates = self._estimates[request.entry]
        if self.policy.has_admission:
            needed_ms = sum(
                estimates.get_ms(str(stage), self.now_ms)
                for stage in range(len(STAGES))
            )
            if needed_ms > DEADLINE_MS:
                request.is_over = True
                return
        self._try(request)

    def _try(self, request: Request) -> None:
        router = self._routers[request.entry][request.stage]
        if not request.attempts:
            router.budget.deposit()
        peer = router.choose(
            frozenset(request.tried),
            request.organisation if request.stage else '',
            self.now_ms,
        )
        if peer is None:
            request.is_over = True
            return
        request.attempts += 1
        request.tried.add(peer.instance.instance)
        number = int(peer.instance.instance.split('-')[1])
        instance = self._instances[request.stage][number]
        peer.in_flight += 1
        self._at(
            self.now_ms + NETWORK_MS,
            lambda: self._offer(request, instance, router, peer),
        )

    def _offer(self, request, instance, router, peer) -> None:
        if instance.is_lost or instance.is_failing:
            self._answer(request, instance, router, peer, 'failed', 0)
            return
        later_ms = sum(service for _, _, service in STAGES[request.stage + 1 :])
        ticket = Ticket(
            ticket_id=next(self._order),
            organisation=request.organisation,
            deadline_ms=request.arrived_ms + DEADLINE_MS - later_ms,
            worth=request.worth,
            cost_ms=STAGES[request.stage][2] + later_ms,
        )
        self._tickets[ticket.ticket_id] = (request, instance, router, peer)
        accepted, evicted = instance.queue.offer(ticket, self.now_ms)
        for gone in evicted:
            self._refuse(gone)
        if not accepted:
            self._refuse(ticket)
        self._pump(instance)

    def _refuse(self, ticket: Ticket) -> None:
        request, instance, router, peer = self._tickets.pop(ticket.ticket_id)
        self._answer(request, instance, router, peer, 'busy', 0)

    def _pump(self, instance: Instance) -> None:
        started, expired = instance.queue.take(self.now_ms)
        for ticket in expired:
            self._refuse(ticket)
        for ticket in started:
            request = self._tickets[ticket.ticket_id][0]
            busy_ms = STAGES[instance.stage][2] * instance.factor
            busy_ms *= self.rng.uniform(0.8, 1.2)
            if instance.stage and self.scenario.cold_ms:
                if request.organisation not in instance.prefixes:
                    busy_ms += self.scenario.cold_ms
                instance.prefixes.add(request.organisation)
                if len(instance.prefixes) > 1:
                    # The cache holds one organisation's prefix only.
                    instance.prefixes = {request.organisation}
            self._at(
                self.now_ms + busy_ms,
                lambda one=ticket, took=busy_ms: self._end(one, took),
            )

    def _end(self, ticket: Ticket, busy_ms: float) -> None:
        request, instance, router, peer = self._tickets.pop(ticket.ticket_id)
        instance.queue.finish(ticket, busy_ms, self.now_ms)
        self.busy[instance.stage] += busy_ms
        request.busy_ms += busy_ms
        outcome = 'failed' if instance.is_lost else 'done'
        self._answer(request, instance, router, peer, outcome, busy_ms)
        self._pump(instance)

    def _answer(self, request, instance, router, peer, outcome, busy) -> None:
        report = make_report(instance.queue, STAGES[instance.stage][2])
        started_ms = self.now_ms
        instance.log.append((self.now_ms, report))
        if self.scenario.lag_ms:
            seen_ms = self.now_ms - self.scenario.lag_ms
            older = [one for one in instance.log if one[0] <= seen_ms]
            report = older[-1][1] if older else None
        self._at(
            self.now_ms + NETWORK_MS,
            lambda: self._learn(
                request,
                router,
                peer,
                outcome,
                report,
                busy + self.now_ms - started_ms,
            ),
        )

    def _learn(self, request, router, peer, outcome, report, busy) -> None:
        peer.in_flight -= 1
        if report is not None:
            peer.record_load(report, self.now_ms)
        if outcome == 'done':
            peer.record_success(busy)
            self._estimates[request.entry].record(
                str(request.stage),
                busy,
                self.now_ms,
            )
            self._go_on(request)
            return
        if outcome == 'failed':
            peer.record_failure(self.now_ms)
        is_late = self.now_ms > request.arrived_ms + DEADLINE_MS
        if is_late or (
            outcome == 'busy'
            and request.attempts >= global_settings.OVERLOAD_RETRIES
        ):
            request.is_over = True
        elif outcome == 'busy' or router.may_retry(request.attempts):
            self.further += 1
            self._try(request)
        else:
            request.is_over = True

    def _go_on(self, request: Request) -> None:
        request.stage += 1
        request.attempts = 0
        request.tried = set()
        if request.stage == len(STAGES):
            request.done_ms = self.now_ms
        elif self.now_ms < request.arrived_ms + DEADLINE_MS:
            self._try(request)

    def _lose(self) -> None:
        for one in self._instances[-1][: self.scenario.lost]:
            one.is_lost = True

    def _set_outage(self, *, is_failing: bool) -> None:
        for one in self._instances[-1]:
            one.is_failing = is_failing


def _make_peer(one: Instance) -> PeerState:
    return PeerState(
        instance=InstanceEntry(
            instance=one.name,
            pool=str(one.stage),
            failure_domain='',
            address='',
        ),
    )
