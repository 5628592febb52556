"""Hold the response of a peer gateway."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerResponse:
    """
    Hold a complete response.

    Attributes
    ----------
    status : int
        Status code.
    body : bytes
        Complete body.
    """

    status: int
    body: bytes
