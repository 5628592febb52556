"""Define what began a stream."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamOrigin:
    """
    Hold the software version that generated the first event of a stream.

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
        Pool of the instance; empty if another gateway has relayed the stream.
    """

    software_version: str | None
    instance: str
    began_ms: float
    expires_ms: float
    pool: str = ''
