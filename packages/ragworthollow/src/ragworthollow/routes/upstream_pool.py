"""Define the configuration of a pool of upstream instances."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class PieceProfile:
    """
    Describe how the instances of a pool process pieces.

    Attributes
    ----------
    concurrency : int
        Calls that one instance processes concurrently.
    batch_limit : int
        Maximum number of pieces per call.
    call_ms : float
        Fixed time of a call, without its pieces.
    piece_ms : float
        Approximate additional time per piece.
    result_space_bytes : int
        Storage for results at one instance.
    result_ttl_ms : float
        How long an instance keeps a result that is not released.
    """

    concurrency: int
    batch_limit: int
    call_ms: float
    piece_ms: float
    result_space_bytes: int
    result_ttl_ms: float

    def estimate_ms(self, pieces: int) -> float:
        """Return the expected duration of a call in milliseconds."""
        return self.call_ms + self.piece_ms * pieces


@dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamPool:
    """
    Describe one pool.

    Attributes
    ----------
    name : str
        Name that routes refer to.
    max_connections : int
        Maximum connections that one instance accepts from all clients together.
    pieces : PieceProfile or None
        Set if the pool runs stages.
    is_engine : bool
        Whether its instances are model engines.
    warm_up_ms : float
        How long an instance warms up after its start; 0 for no warm-up.
    warm_up_per_s : float
        Requests per second that an instance tolerates while it warms up; 0
        for no limit.
    """

    name: str
    max_connections: int
    pieces: PieceProfile | None = None
    is_engine: bool = False
    warm_up_ms: float = 0
    warm_up_per_s: float = 0
