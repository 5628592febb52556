"""Define a request that a process is serving."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True, eq=False)
class RequestInFlight:
    """
    Identify a request for as long as it is served.

    Attributes
    ----------
    request_id : str
        Its identifier; empty if it has none.
    peer : str
        Who sent it.
    started_ms : float
        Time on the monotonic clock, in milliseconds, at which it was
        received.
    """

    request_id: str
    peer: str
    started_ms: float
