"""Define the queue entry of a call."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """
    Describe one call that needs a slot of the upstream.

    Attributes
    ----------
    ticket_id : int
        Identifier, unique within the queue and ascending in order of arrival.
    organisation : str
        Organisation whose share it uses.
    deadline_ms : float
        Latest time, on the monotonic clock, at which the end of this stage
        is still useful.
    worth : float
        Value of its request.
    cost_ms : float
        Slot time that this and all later stages still need, in milliseconds.
    """

    ticket_id: int
    organisation: str
    deadline_ms: float
    worth: float = 1.0
    cost_ms: float = 1.0

    def get_worth_per_ms(self) -> float:
        """Return the value gained per millisecond of remaining slot time."""
        return self.worth / max(self.cost_ms, 1.0)
