"""Define the results of the decisions of the admission queue."""

from dataclasses import dataclass

from ragworthollow.admission.ticket import Ticket
from ragworthollow.outcomes import Reason


@dataclass(frozen=True, kw_only=True, slots=True)
class Acceptance:
    """
    Report that a ticket was accepted into the queue.

    Attributes
    ----------
    evicted : tuple of Ticket
        Waiting tickets evicted to make room for it; none of them has
        started.
    """

    evicted: tuple[Ticket, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Rejection:
    """
    Report that a ticket was rejected.

    Attributes
    ----------
    reason : Reason
        Cause of the rejection.
    wait_ms : float
        Estimated queueing delay at the time of the rejection.
    """

    reason: Reason
    wait_ms: float


@dataclass(frozen=True, kw_only=True, slots=True)
class DispatchResult:
    """
    List the tickets that leave the queue in one round of dispatching.

    Attributes
    ----------
    started : tuple of Ticket
        Tickets to send to the upstream now.
    expired : tuple of Ticket
        Tickets that can no longer finish in time, to be rejected now.
    """

    started: tuple[Ticket, ...] = ()
    expired: tuple[Ticket, ...] = ()
