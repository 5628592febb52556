"""Let calls wait for a slot of the upstream."""

import asyncio
import itertools

from result import Err, Ok, Result

from ragworthollow.admission import AdmissionQueue, Ticket
from ragworthollow.admission.estimate import get_retry_after_ms
from ragworthollow.outcomes import Reason
from ragworthollow.transport import LoadReport
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.sidecar.slot_refusal import SlotRefusal

_FORGET_MS = 10_000
_MILLISECONDS = 1000

_Grant = Result[None, SlotRefusal]


class SlotQueue:
    """
    Join the admission decisions with waiting tasks.

    Parameters
    ----------
    queue : AdmissionQueue
        The decisions.
    """

    def __init__(self, *, queue: AdmissionQueue) -> None:
        self.queue = queue
        self._numbers = itertools.count()
        self._futures: dict[int, asyncio.Future[_Grant]] = {}

    def make_ticket(
        self,
        *,
        organisation: str,
        deadline_ms: float,
        worth: float,
        cost_ms: float,
    ) -> Ticket:
        """Make a ticket with the next number."""
        return Ticket(
            ticket_id=next(self._numbers),
            organisation=organisation,
            deadline_ms=deadline_ms,
            worth=worth,
            cost_ms=max(cost_ms, self.queue.service_ms),
        )

    async def acquire(self, ticket: Ticket) -> _Grant:
        """
        Wait for a slot.

        Parameters
        ----------
        ticket : Ticket
            The call.

        Returns
        -------
        Result
            A slot to be given back with `release`, or why there is none;
            the refused call has provably not run.
        """
        now_ms = get_monotonic_ms()
        offered = self.queue.enqueue(ticket, now_ms)
        if isinstance(offered, Err):
            rejection = offered.err_value
            return Err(
                SlotRefusal(
                    reason=rejection.reason,
                    retry_after_ms=get_retry_after_ms(rejection.wait_ms),
                ),
            )
        future: asyncio.Future[_Grant] = asyncio.Future()
        self._futures[ticket.ticket_id] = future
        for evicted in offered.ok_value.evicted:
            self._refuse(evicted, Reason.shed)
        self.pump()
        # The moment at which it can no longer finish in time.
        slack_ms = (
            ticket.deadline_ms
            - self.queue.get_conservative_service_ms()
            - now_ms
        )
        timer = asyncio.get_running_loop().call_later(
            (slack_ms + 1) / _MILLISECONDS,
            self.pump,
        )
        try:
            return await future
        except asyncio.CancelledError:
            self._abandon(ticket, future)
            raise
        finally:
            timer.cancel()

    def release(self, ticket: Ticket, busy_ms: float, *, is_done: bool) -> None:
        """
        Give a slot back.

        Parameters
        ----------
        ticket : Ticket
            The call that ended.
        busy_ms : float
            Time it held the slot.
        is_done : bool
            Whether it ended with a whole result; others teach nothing about
            the time that a call takes.
        """
        self.queue.release(ticket, busy_ms, get_monotonic_ms())
        if is_done:
            self.queue.record_service_time(busy_ms)
        self.pump()

    def pump(self) -> None:
        """Start what can start and refuse what has become too late."""
        turn = self.queue.dispatch(get_monotonic_ms())
        for expired in turn.expired:
            self._refuse(expired, Reason.deadline_exceeded)
        for started in turn.started:
            future = self._futures.pop(started.ticket_id)
            future.set_result(Ok(None))

    async def run(self) -> None:
        """Forget idle organisations until cancelled."""
        while True:
            await asyncio.sleep(_FORGET_MS / _MILLISECONDS)
            self.queue.forget_idle(get_monotonic_ms())

    def get_load(self, *, leaving: bool) -> LoadReport:
        """Report the present load."""
        return LoadReport(
            running=self.queue.running,
            waiting=self.queue.waiting,
            concurrency=self.queue.capacity,
            service_ms=self.queue.service_ms,
            leaving=leaving,
        )

    def _abandon(self, ticket: Ticket, future: asyncio.Future[_Grant]) -> None:
        self._futures.pop(ticket.ticket_id, None)
        is_granted = future.done() and not future.cancelled()
        if is_granted and future.result().is_ok():
            self.release(ticket, 0, is_done=False)
        elif not is_granted and not self.queue.cancel(ticket):
            # The grant and the cancellation met in one turn of the loop.
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
