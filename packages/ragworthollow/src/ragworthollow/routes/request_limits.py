"""Define limits on the size and timing of a caller's requests."""

from dataclasses import dataclass

from ragworthollow.conf import global_settings


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestLimits:
    """
    Hold the limits that apply to each caller.

    Attributes
    ----------
    header_bytes : int
        Maximum size of the header section of a request.
    body_bytes : int
        Maximum size of the body of a request.
    header_timeout_ms : float
        Maximum time to receive the header section of a request.
    idle_timeout_ms : float
        How long a connection may stay idle between requests.
    """

    header_bytes: int = global_settings.GATEWAY_HEADER_BYTES
    body_bytes: int = global_settings.GATEWAY_BODY_BYTES
    header_timeout_ms: float = global_settings.GATEWAY_HEADER_TIMEOUT_MS
    idle_timeout_ms: float = global_settings.GATEWAY_IDLE_TIMEOUT_MS
