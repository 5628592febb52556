"""Define what began a stream."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamOrigin:
    """
    Hold the pool and software version that generated a stream's first event.

    Attributes
    ----------
    software_version : str or None
        The version; None if it is not certain.
    instance : str
        Instance that generated the event.
    began_ms, expires_ms : float
        When the event arrived, and from when on no caller resumes the stream,
        on the monotonic clock.
    pool : str
        Pool of the instance; empty if it is not known.
    is_relayed_here : bool
        Whether this gateway has relayed the event.
    """

    software_version: str | None
    instance: str
    began_ms: float
    expires_ms: float
    pool: str = ''
    is_relayed_here: bool = False
