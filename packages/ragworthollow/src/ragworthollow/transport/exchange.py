"""Describe one request and its response on a connection."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Exchange:
    """
    Describe where a response came from.

    Attributes
    ----------
    number : int
        Requests that the connection has carried, this one included.
    response_id : str
        Request that the response names; empty if it names none.
    head_after_ms : float
        Time from the choice of the connection to the end of the response head,
        in milliseconds.
    discarded_copies : int
        Responses to earlier requests that came before this one.
    """

    number: int
    response_id: str
    head_after_ms: float
    discarded_copies: int

    def describe(self) -> dict[str, object]:
        """Return log fields."""
        return {
            'exchange': self.number,
            'response_id': self.response_id,
            'head_after_ms': round(self.head_after_ms, 1),
            'discarded_copies': self.discarded_copies,
        }
