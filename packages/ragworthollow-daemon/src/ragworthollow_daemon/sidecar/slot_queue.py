"""Queue calls for the concurrency slots of the upstream."""

import asyncio
import itertools

from result import Err, Ok, Result

from ragworthollow.admission import AdmissionQueue, Ticket
from ragworthollow.admission.estimate import get_retry_after_ms
from ragworthollow.outcomes import Reason
from ragworthollow.transport import LoadReport
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.sidecar.slot_refusal import SlotRefusal

_IDLE_REMOVAL_INTERVAL_MS = 10_000
_MILLISECONDS = 1000

_SlotResult = Result[None, SlotRefusal]


class SlotQueue:
    """
    Connect the decisions of the admission queue to waiting tasks.

    Parameters
    ----------
    queue : AdmissionQueue
        Decides which calls start, wait or are refused.
    """

    def __init__(self, *, queue: AdmissionQueue) -> None:
        self.queue = queue
        self._numbers = itertools.count()
        self._futures: dict[int, asyncio.Future[_SlotResult]] = {}

    def make_ticket(
        self,
        *,
        organisation: str,
        deadline_ms: float,
        worth: float,
        cost_ms: float,
    ) -> Ticket:
        """Return a ticket with a new id."""
        return Ticket(
            ticket_id=next(self._numbers),
            organisation=organisation,
            deadline_ms=deadline_ms,
            worth=worth,
            cost_ms=max(cost_ms, self.queue.service_ms),
        )

    async def acquire(self, ticket: Ticket) -> _SlotResult:
        """
        Wait for a slot.

        Parameters
        ----------
        ticket : Ticket
            Ticket of the call.

        Returns
        -------
        Result
            Ok when a slot was granted, which must be returned with `release`;
            otherwise the refusal. A refused call is certain not to have run.
        """
        now_ms = get_monotonic_ms()
        accepted = self.queue.enqueue(ticket, now_ms)
        if isinstance(accepted, Err):
            rejection = accepted.err_value
            return Err(
                SlotRefusal(
                    reason=rejection.reason,
                    retry_after_ms=get_retry_after_ms(rejection.wait_ms),
                ),
            )
        future: asyncio.Future[_SlotResult] = asyncio.Future()
        self._futures[ticket.ticket_id] = future
        for evicted in accepted.ok_value.evicted:
            self._refuse(evicted, Reason.shed)
        self.dispatch_waiting()
        # When this slack is used up, the call can no longer finish before its
        # deadline.
        slack_ms = (
            ticket.deadline_ms
            - self.queue.get_conservative_service_ms()
            - now_ms
        )
        timer = asyncio.get_running_loop().call_later(
            (slack_ms + 1) / _MILLISECONDS,
            self.dispatch_waiting,
        )
        try:
            return await future
        except asyncio.CancelledError:
            self._cancel(ticket, future)
            raise
        finally:
            timer.cancel()

    def release(self, ticket: Ticket, busy_ms: float, *, is_done: bool) -> None:
        """
        Return a slot.

        Parameters
        ----------
        ticket : Ticket
            Ticket of the call that ended.
        busy_ms : float
            How long the call held the slot.
        is_done : bool
            Whether the call ended with a complete result; only such calls
            update the service time estimate.
        """
        self.queue.release(ticket, busy_ms, get_monotonic_ms())
        if is_done:
            self.queue.record_service_time(busy_ms)
        self.dispatch_waiting()

    def dispatch_waiting(self) -> None:
        """Start calls that have a slot and refuse those past their deadline."""
        result = self.queue.dispatch(get_monotonic_ms())
        for expired in result.expired:
            self._refuse(expired, Reason.deadline_exceeded)
        for started in result.started:
            future = self._futures.pop(started.ticket_id)
            future.set_result(Ok(None))

    async def run(self) -> None:
        """Remove the state of idle organisations until cancelled."""
        while True:
            await asyncio.sleep(_IDLE_REMOVAL_INTERVAL_MS / _MILLISECONDS)
            self.queue.forget_idle(get_monotonic_ms())

    def get_load(self, *, leaving: bool) -> LoadReport:
        """Return the current load."""
        return LoadReport(
            running=self.queue.running,
            waiting=self.queue.waiting,
            concurrency=self.queue.capacity,
            service_ms=self.queue.service_ms,
            leaving=leaving,
        )

    def _cancel(
        self, ticket: Ticket, future: asyncio.Future[_SlotResult]
    ) -> None:
        self._futures.pop(ticket.ticket_id, None)
        is_granted = future.done() and not future.cancelled()
        if is_granted and future.result().is_ok():
            self.release(ticket, 0, is_done=False)
        elif not is_granted and not self.queue.cancel(ticket):
            # The slot was granted and the task cancelled in the same iteration
            # of the event loop.
            self.release(ticket, 0, is_done=False)

    def _refuse(self, ticket: Ticket, reason: Reason) -> None:
        future = self._futures.pop(ticket.ticket_id, None)
        if future is None or future.done():
            return
        retry_after_ms = get_retry_after_ms(
            self.queue.waiting * self.queue.service_ms / self.queue.capacity,
        )
        future.set_result(
            Err(SlotRefusal(reason=reason, retry_after_ms=retry_after_ms)),
        )
