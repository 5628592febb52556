"""Define what the queue decides."""

from dataclasses import dataclass

from ragworthollow.admission.ticket import Ticket
from ragworthollow.outcomes import Reason


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
