"""Define the metadata that an attempt sends to its upstream."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptMetadata:
    """
    Hold what the gateway adds to a caller's request.

    Attributes
    ----------
    instance : str
        Intended incarnation; all others must refuse the request.
    organisation : str
        Organisation that owns the caller's key; empty for none.
    time_limit_ms : float
        Remaining time.
    priority : int or None
        Priority among the upstream's requests; 0 is the most urgent.
    inputs : tuple of str
        Handles of the stage results that the request reads.
    last_event_id : str
        Event after which a stream resumes; empty to start from the beginning.
    """

    instance: str
    organisation: str
    time_limit_ms: float
    priority: int | None = None
    inputs: tuple[str, ...] = ()
    last_event_id: str = ''
