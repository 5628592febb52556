"""Wrap the decisions of the product and the baselines alike."""

import random
from collections import deque
from dataclasses import dataclass, field

from result import Ok

from ragworthollow.admission import AdmissionQueue, CapacityShare, Ticket
from ragworthollow.conf import global_settings
from ragworthollow.retries import RetryBudget
from ragworthollow.routing import PeerState, choose_instance, find_stragglers
from ragworthollow.routing.choice import SelectionCriteria
from ragworthollow.transport import LoadReport


@dataclass(frozen=True, kw_only=True)
class Policy:
    """Say which decisions a column of the table makes."""

    name: str
    routing: str
    has_admission: bool = False
    has_budget: bool = False
    hedges: bool = False


POLICIES = (
    Policy(name='random', routing='random'),
    Policy(name='round_robin', routing='round_robin'),
    Policy(name='least_in_flight', routing='least'),
    Policy(
        name='ours',
        routing='ours',
        has_admission=True,
        has_budget=True,
        hedges=True,
    ),
)


class FifoQueue:
    """Queue without admission, as a baseline has it."""

    def __init__(self, *, capacity: int) -> None:
        self.capacity = capacity
        self.running = 0
        self._line: deque[Ticket] = deque()

    @property
    def waiting(self) -> int:
        return len(self._line)

    def offer(self, ticket: Ticket, _now_ms: float) -> tuple[bool, list]:
        self._line.append(ticket)
        return True, []

    def take(self, now_ms: float) -> tuple[list, list]:
        started, expired = [], []
        while self._line and self.running < self.capacity:
            ticket = self._line.popleft()
            if ticket.deadline_ms < now_ms:
                expired.append(ticket)
                continue
            self.running += 1
            started.append(ticket)
        return started, expired

    def finish(self, _ticket: Ticket, _busy_ms: float, _now_ms: float) -> None:
        self.running -= 1


class OurQueue:
    """Queue with the product's admission."""

    def __init__(
        self,
        *,
        capacity: int,
        service_ms: float,
        shares: dict[str, CapacityShare],
    ) -> None:
        self._queue = AdmissionQueue(capacity=capacity, service_ms=service_ms)
        self._queue.shares = shares

    @property
    def running(self) -> int:
        return self._queue.running

    @property
    def waiting(self) -> int:
        return self._queue.waiting

    @property
    def capacity(self) -> int:
        return self._queue.capacity

    def offer(self, ticket: Ticket, now_ms: float) -> tuple[bool, list]:
        offered = self._queue.enqueue(ticket, now_ms)
        if isinstance(offered, Ok):
            return True, list(offered.ok_value.evicted)
        return False, []

    def take(self, now_ms: float) -> tuple[list, list]:
        turn = self._queue.dispatch(now_ms)
        return list(turn.started), list(turn.expired)

    def finish(self, ticket: Ticket, busy_ms: float, now_ms: float) -> None:
        self._queue.release(ticket, busy_ms, now_ms)
        self._queue.record_service_time(busy_ms)


@dataclass
class Router:
    """Choose instances for one entry, as its column says."""

    policy: Policy
    peers: list[PeerState]
    rng: random.Random
    budget: RetryBudget = field(default_factory=RetryBudget)
    turn: int = 0
    next_look_ms: float = 0

    def choose(
        self,
        tried: frozenset[str],
        affinity: str,
        now_ms: float,
    ) -> PeerState | None:
        left = [one for one in self.peers if one.instance.instance not in tried]
        if not left:
            return None
        if self.policy.routing == 'random':
            return self.rng.choice(left)
        if self.policy.routing == 'round_robin':
            self.turn += 1
            return left[self.turn % len(left)]
        if self.policy.routing == 'least':
            return min(left, key=lambda one: (one.in_flight, self.rng.random()))
        if now_ms >= self.next_look_ms:
            self.next_look_ms = now_ms + global_settings.EJECTION_INTERVAL_MS
            for slow in find_stragglers(self.peers):
                slow.avoid_until_ms = now_ms + global_settings.EJECTION_MS
                slow.samples = 0
        wish = SelectionCriteria(affinity_key=affinity, avoid=tried)
        return choose_instance(self.peers, wish, now_ms, self.rng)

    def may_retry(self, attempts: int) -> bool:
        if attempts >= global_settings.MAX_ATTEMPTS:
            return False
        return not self.policy.has_budget or self.budget.withdraw()


def make_report(queue, service_ms: float) -> LoadReport:
    return LoadReport(
        running=queue.running,
        waiting=queue.waiting,
        concurrency=queue.capacity,
        service_ms=service_ms,
    )
