"""Queue the calls of one upstream and decide which of them run."""

from collections.abc import Iterator, Mapping

from result import Err, Ok, Result

from ragworthollow.admission.capacity_share import (
    DEFAULT_SHARE,
    CapacityShare,
    get_fair_share,
)
from ragworthollow.admission.decisions import (
    Acceptance,
    DispatchResult,
    Rejection,
)
from ragworthollow.admission.estimate import Backlog, estimate_wait_ms
from ragworthollow.admission.order import (
    Contender,
    choose_next,
    is_within_guarantee,
)
from ragworthollow.admission.organisation_queues import OrganisationQueues
from ragworthollow.admission.ticket import Ticket
from ragworthollow.admission.usage_tracker import UsageTracker
from ragworthollow.conf import global_settings
from ragworthollow.outcomes import Reason

_EVICTION_LIMIT = 4
_EVICTION_WORTH_RATIO = 0.8
_SERVICE_TIME_DEVIATIONS = 2


class AdmissionQueue:
    """
    Queue the calls of one upstream.

    Slots are shared fairly between organisations; within one organisation,
    the call with the earliest deadline runs first.

    Parameters
    ----------
    capacity : int
        Number of calls that the upstream runs concurrently.
    limit : int
        Maximum number of waiting calls.
    service_ms : float
        Initial estimate of the time one call takes, in milliseconds.
    """

    def __init__(
        self,
        *,
        capacity: int,
        limit: int = global_settings.QUEUE_LIMIT,
        service_ms: float = 1,
    ) -> None:
        self.capacity = capacity
        self.limit = limit
        self.service_ms = service_ms
        self.shares: Mapping[str, CapacityShare] = {}
        self._deviation_ms: float = 0
        self._queues = OrganisationQueues()
        self._usage_tracker = UsageTracker()

    @property
    def running(self) -> int:
        """Return the number of slots in use."""
        return self._usage_tracker.total_running

    @property
    def waiting(self) -> int:
        """Return the number of waiting calls."""
        return len(self._queues)

    def get_conservative_service_ms(self) -> float:
        """
        Return a conservative estimate of the service time, in milliseconds.

        Most calls end within it: it is the mean plus a multiple of the mean
        deviation.
        """
        return self.service_ms + _SERVICE_TIME_DEVIATIONS * self._deviation_ms

    def enqueue(
        self, ticket: Ticket, now_ms: float
    ) -> Result[Acceptance, Rejection]:
        """
        Enqueue a ticket if it can finish in time; otherwise reject it at once.

        Waiting calls of lower value may be evicted to make room for it.

        Parameters
        ----------
        ticket : Ticket
            Call to enqueue.
        now_ms : float
            Time on the monotonic clock.

        Returns
        -------
        Result
            The acceptance with the evicted tickets, or the rejection.
        """
        latest_ms = ticket.deadline_ms - self.get_conservative_service_ms()
        if latest_ms < now_ms:
            return Err(
                Rejection(reason=Reason.deadline_too_short, wait_ms=0),
            )
        evicted: list[Ticket] = []
        while (
            self.waiting >= self.limit
            or now_ms + self._get_wait_ms(ticket) > latest_ms
        ):
            candidate = self._find_eviction_candidate(ticket, now_ms)
            if candidate is None or len(evicted) >= _EVICTION_LIMIT:
                return self._reject(ticket, evicted, now_ms)
            self.cancel(candidate)
            evicted.append(candidate)
        self._queues.push(ticket)
        return Ok(Acceptance(evicted=tuple(evicted)))

    def dispatch(self, now_ms: float) -> DispatchResult:
        """
        Dispatch waiting calls to the free slots.

        Parameters
        ----------
        now_ms : float
            Time on the monotonic clock.

        Returns
        -------
        DispatchResult
            Calls that start, and calls that can no longer finish in time.
        """
        # A call that is unlikely to finish in time would only waste a slot.
        limit_ms = now_ms + self.get_conservative_service_ms()
        expired = tuple(self._queues.pop_late(limit_ms))
        started: list[Ticket] = []
        while self.running < self.capacity:
            contender = choose_next(self._get_contenders(now_ms), self.capacity)
            if contender is None:
                break
            ticket = self._queues.pop(contender.organisation)
            self._usage_tracker.start(
                contender.organisation,
                self.service_ms,
                now_ms,
            )
            started.append(ticket)
        return DispatchResult(started=tuple(started), expired=expired)

    def release(self, ticket: Ticket, busy_ms: float, now_ms: float) -> None:
        """
        Release the slot of a call and correct the usage charged for it.

        Parameters
        ----------
        ticket : Ticket
            The call that ended.
        busy_ms : float
            Time for which it held the slot, in milliseconds.
        now_ms : float
            Time on the monotonic clock.
        """
        correction_ms = busy_ms - self.service_ms
        self._usage_tracker.release(ticket.organisation, correction_ms, now_ms)

    def record_service_time(self, busy_ms: float) -> None:
        """
        Update the estimate of the service time.

        Parameters
        ----------
        busy_ms : float
            Time that a successful call took, in milliseconds.
        """
        decay = global_settings.LATENCY_DECAY
        error_ms = busy_ms - self.service_ms
        self.service_ms += decay * error_ms
        self._deviation_ms += decay * (abs(error_ms) - self._deviation_ms)

    def cancel(self, ticket: Ticket) -> bool:
        """Remove a waiting ticket; return False if it no longer waits."""
        return self._queues.cancel(ticket)

    def forget_idle(self, now_ms: float) -> None:
        """Discard the usage of organisations that are no longer active."""
        self._usage_tracker.forget_idle(now_ms)

    def _reject(
        self,
        ticket: Ticket,
        evicted: list[Ticket],
        now_ms: float,
    ) -> Err[Rejection]:
        for removed in evicted:
            self._queues.push(removed)
        wait_ms = self._get_wait_ms(ticket)
        return Err(Rejection(reason=Reason.overloaded, wait_ms=wait_ms))

    def _get_contenders(self, now_ms: float) -> Iterator[Contender]:
        for organisation in self._queues.get_organisations():
            yield self._get_contender(organisation, now_ms)

    def _get_contender(self, organisation: str, now_ms: float) -> Contender:
        return Contender(
            organisation=organisation,
            share=self.shares.get(organisation, DEFAULT_SHARE),
            running=self._usage_tracker.get_running(organisation),
            used_ms=self._usage_tracker.get_used_ms(organisation, now_ms),
        )

    def _get_wait_ms(self, ticket: Ticket) -> float:
        active = self._usage_tracker.get_active()
        active.update(self._queues.get_organisations())
        backlog = Backlog(
            total=self.waiting,
            own=self._queues.count_before(ticket),
            busy=self.running,
            fair_share=get_fair_share(
                self.shares,
                ticket.organisation,
                active,
            ),
        )
        return estimate_wait_ms(
            backlog,
            capacity=self.capacity,
            service_ms=self.service_ms,
        )

    def _find_eviction_candidate(
        self,
        ticket: Ticket,
        now_ms: float,
    ) -> Ticket | None:
        threshold = ticket.get_worth_per_ms() * _EVICTION_WORTH_RATIO
        candidates = (
            waiting
            for organisation in self._queues.get_organisations()
            if self._may_evict(organisation, ticket, now_ms)
            for waiting in self._queues.get_queue(organisation)
        )
        candidate = min(candidates, key=Ticket.get_worth_per_ms, default=None)
        if candidate is None or candidate.get_worth_per_ms() >= threshold:
            return None
        return candidate

    def _may_evict(
        self,
        organisation: str,
        ticket: Ticket,
        now_ms: float,
    ) -> bool:
        if organisation == ticket.organisation:
            return True
        contender = self._get_contender(organisation, now_ms)
        return not is_within_guarantee(contender, self.capacity)
