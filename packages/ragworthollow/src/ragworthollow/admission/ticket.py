"""Define a call as the queue sees it."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """
    Describe one call that wants a slot of the upstream.

    Attributes
    ----------
    ticket_id : int
        Unique in its queue, in order of arrival.
    organisation : str
        Whose share it uses.
    deadline_ms : float
        Latest useful end of this stage on the monotonic clock.
    worth : float
        Worth of its request.
    cost_ms : float
        Busy time that this and all later stages still take.
    """

    ticket_id: int
    organisation: str
    deadline_ms: float
    worth: float = 1.0
    cost_ms: float = 1.0

    def get_density(self) -> float:
        """Return the worth still to be had for each millisecond of cost."""
        return self.worth / max(self.cost_ms, 1.0)
