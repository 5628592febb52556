"""Hold the queue of one upstream and decide on it."""

import bisect
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from result import Err, Ok, Result

from ragworthollow.admission.estimate import Backlog, estimate_wait_ms
from ragworthollow.admission.order import Claim, is_within_guarantee, pick
from ragworthollow.admission.share import DEFAULT_SHARE, Share
from ragworthollow.admission.ticket import Ticket
from ragworthollow.admission.usage import NO_USAGE, Usage, charge, fade
from ragworthollow.conf import global_settings
from ragworthollow.outcomes import Reason

_EVICTION_LIMIT = 4
_DENSITY_GAP = 0.8


@dataclass(frozen=True, kw_only=True, slots=True)
class Offer:
    """
    Accept a ticket into the queue.

    Attributes
    ----------
    evicted : tuple of Ticket
        Waiting tickets that had to go for it; none of them has started.
    """

    evicted: tuple[Ticket, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Rejection:
    """
    Turn a ticket away.

    Attributes
    ----------
    reason : Reason
        Why.
    wait_ms : float
        Estimated wait at present.
    """

    reason: Reason
    wait_ms: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Turn:
    """
    Tell what leaves the queue.

    Attributes
    ----------
    started : tuple of Ticket
        To be handed to the upstream now.
    expired : tuple of Ticket
        Can no longer finish in time; to be refused now.
    """

    started: tuple[Ticket, ...] = ()
    expired: tuple[Ticket, ...] = ()


class AdmissionQueue:
    """
    Queue the calls of one upstream: fair between, urgent first within.

    Parameters
    ----------
    capacity : int
        Calls the upstream runs side by side.
    limit : int
        Calls that may wait.
    service_ms : float
        First guess of the time one call takes.
    """

    def __init__(
        self,
        *,
        capacity: int,
        limit: int = global_settings.QUEUE_LIMIT,
        service_ms: float = 1.0,
    ) -> None:
        self.capacity = capacity
        self.limit = limit
        self.service_ms = service_ms
        self.shares: Mapping[str, Share] = {}
        self._waiting: dict[str, list[tuple[float, int, Ticket]]] = {}
        self._running: dict[str, int] = {}
        self._usage: dict[str, Usage] = {}

    @property
    def running(self) -> int:
        """Return the number of slots in use."""
        return sum(self._running.values())

    @property
    def waiting(self) -> int:
        """Return the number of calls that wait."""
        return sum(map(len, self._waiting.values()))

    def offer(self, ticket: Ticket, now_ms: float) -> Result[Offer, Rejection]:
        """
        Accept a ticket if it can finish in time, or say at once that not.

        Parameters
        ----------
        ticket : Ticket
            The call.
        now_ms : float
            Time on the monotonic clock.

        Returns
        -------
        Result
            Acceptance with what had to go, or the rejection.
        """
        if ticket.deadline_ms - now_ms < self.service_ms:
            return Err(
                Rejection(reason=Reason.deadline_too_short, wait_ms=0),
            )
        evicted: list[Ticket] = []
        while not self._fits(ticket, now_ms):
            victim = self._find_victim(ticket, now_ms)
            if victim is None or len(evicted) >= _EVICTION_LIMIT:
                for removed in evicted:
                    self._push(removed)
                return Err(
                    Rejection(
                        reason=Reason.overloaded,
                        wait_ms=self._get_wait_ms(ticket, now_ms),
                    ),
                )
            self.withdraw(victim)
            evicted.append(victim)
        self._push(ticket)
        return Ok(Offer(evicted=tuple(evicted)))

    def take(self, now_ms: float) -> Turn:
        """
        Fill the free slots.

        Parameters
        ----------
        now_ms : float
            Time on the monotonic clock.

        Returns
        -------
        Turn
            What starts, and what can no longer finish in time.
        """
        expired = tuple(self._drop_expired(now_ms))
        started: list[Ticket] = []
        while self.running < self.capacity:
            claim = pick(self._get_claims(now_ms), self.capacity)
            if claim is None:
                break
            started.append(self._start(claim.organisation, now_ms))
        return Turn(started=tuple(started), expired=expired)

    def finish(self, ticket: Ticket, busy_ms: float, now_ms: float) -> None:
        """
        Free the slot of a call and correct what was charged for it.

        Parameters
        ----------
        ticket : Ticket
            The call that ended.
        busy_ms : float
            Time it held the slot.
        now_ms : float
            Time on the monotonic clock.
        """
        organisation = ticket.organisation
        left = self._running[organisation] - 1
        if left:
            self._running[organisation] = left
        else:
            self._running.pop(organisation)
        usage = self._usage.get(organisation, NO_USAGE)
        self._usage[organisation] = charge(
            usage,
            busy_ms - self.service_ms,
            now_ms,
        )

    def observe_service(self, busy_ms: float) -> None:
        """Learn from the time a successful call took, in milliseconds."""
        decay = global_settings.LATENCY_DECAY
        self.service_ms += decay * (busy_ms - self.service_ms)

    def withdraw(self, ticket: Ticket) -> bool:
        """Remove a waiting ticket; False when it waits no more."""
        line = self._waiting.get(ticket.organisation, [])
        entry = (ticket.deadline_ms, ticket.ticket_id, ticket)
        position = bisect.bisect_left(line, entry[:2], key=lambda one: one[:2])
        if position >= len(line) or line[position] != entry:
            return False
        line.pop(position)
        if not line:
            self._waiting.pop(ticket.organisation)
        return True

    def forget_idle(self, now_ms: float) -> None:
        """Drop usages that have faded, so that memory follows activity."""
        self._usage = {
            organisation: usage
            for organisation, usage in self._usage.items()
            if fade(usage, now_ms) > 1
        }

    def _push(self, ticket: Ticket) -> None:
        line = self._waiting.setdefault(ticket.organisation, [])
        bisect.insort(
            line,
            (ticket.deadline_ms, ticket.ticket_id, ticket),
            key=lambda one: one[:2],
        )

    def _start(self, organisation: str, now_ms: float) -> Ticket:
        line = self._waiting[organisation]
        ticket = line.pop(0)[-1]
        if not line:
            self._waiting.pop(organisation)
        self._running[organisation] = self._running.get(organisation, 0) + 1
        usage = self._usage.get(organisation, NO_USAGE)
        self._usage[organisation] = charge(usage, self.service_ms, now_ms)
        return ticket

    def _drop_expired(self, now_ms: float) -> Iterator[Ticket]:
        for organisation, line in list(self._waiting.items()):
            # A call that cannot finish any more would only waste a slot.
            late = [
                entry[-1]
                for entry in line
                if entry[0] - now_ms < self.service_ms / 2
            ]
            del line[: len(late)]
            if not line:
                self._waiting.pop(organisation)
            yield from late

    def _get_claims(self, now_ms: float) -> Iterator[Claim]:
        for organisation in self._waiting:
            yield self._get_claim(organisation, now_ms)

    def _get_claim(self, organisation: str, now_ms: float) -> Claim:
        return Claim(
            organisation=organisation,
            share=self.shares.get(organisation, DEFAULT_SHARE),
            running=self._running.get(organisation, 0),
            used_ms=fade(self._usage.get(organisation, NO_USAGE), now_ms),
        )

    def _fits(self, ticket: Ticket, now_ms: float) -> bool:
        if self.waiting >= self.limit:
            return False
        end_ms = now_ms + self._get_wait_ms(ticket, now_ms) + self.service_ms
        return end_ms <= ticket.deadline_ms

    def _get_wait_ms(self, ticket: Ticket, now_ms: float) -> float:
        line = self._waiting.get(ticket.organisation, [])
        own = bisect.bisect_left(
            line,
            ticket.deadline_ms,
            key=lambda one: one[0],
        )
        backlog = Backlog(
            total=self.waiting,
            own=own,
            busy=self.running,
            entitlement=self._get_entitlement(ticket.organisation),
        )
        return estimate_wait_ms(
            backlog,
            capacity=self.capacity,
            service_ms=self.service_ms,
        )

    def _get_entitlement(self, organisation: str) -> float:
        active = {organisation, *self._waiting, *self._running}
        shares = {name: self.shares.get(name, DEFAULT_SHARE) for name in active}
        guaranteed = sum(share.guarantee for share in shares.values())
        weights = sum(share.weight for share in shares.values())
        own = shares[organisation]
        lent = max(0.0, 1 - guaranteed) * own.weight / weights
        return min(own.guarantee + lent, own.ceiling)

    def _find_victim(self, ticket: Ticket, now_ms: float) -> Ticket | None:
        threshold = ticket.get_density() * _DENSITY_GAP
        candidates = (
            entry[-1]
            for organisation, line in self._waiting.items()
            if self._may_shed(organisation, ticket, now_ms)
            for entry in line
        )
        victim = min(candidates, key=Ticket.get_density, default=None)
        if victim is None or victim.get_density() >= threshold:
            return None
        return victim

    def _may_shed(
        self,
        organisation: str,
        ticket: Ticket,
        now_ms: float,
    ) -> bool:
        if organisation == ticket.organisation:
            return True
        claim = self._get_claim(organisation, now_ms)
        return not is_within_guarantee(claim, self.capacity)
