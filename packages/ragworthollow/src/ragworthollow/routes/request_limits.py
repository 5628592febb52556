"""Define what a caller may send and how long it may take."""

from dataclasses import dataclass

from ragworthollow.conf import global_settings


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestLimits:
    """
    Bound one caller.

    Attributes
    ----------
    header_bytes : int
        Longest head of a request.
    body_bytes : int
        Longest body of a request.
    header_timeout_ms : float
        Longest time that a head may take to arrive.
    idle_timeout_ms : float
        How long a connection may stay without a request.
    """

    header_bytes: int = global_settings.GATEWAY_HEADER_BYTES
    body_bytes: int = global_settings.GATEWAY_BODY_BYTES
    header_timeout_ms: float = global_settings.GATEWAY_HEADER_TIMEOUT_MS
    idle_timeout_ms: float = global_settings.GATEWAY_IDLE_TIMEOUT_MS
