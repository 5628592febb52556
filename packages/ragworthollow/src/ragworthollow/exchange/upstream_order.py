"""Define what one attempt tells its upstream."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamOrder:
    """
    Hold what this system adds to a caller's request.

    Attributes
    ----------
    instance : str
        Incarnation that is meant; any other must refuse.
    organisation : str
        Organisation that holds the caller's key; empty for none.
    time_limit_ms : float
        Time that is left.
    priority : int or None
        Rank among the upstream's requests, 0 first.
    inputs : tuple of str
        Handles of stage results.
    last_event_id : str
        Event after which a stream goes on.
    """

    instance: str
    organisation: str
    time_limit_ms: float
    priority: int | None = None
    inputs: tuple[str, ...] = ()
    last_event_id: str = ''
