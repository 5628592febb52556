"""Define a pool of upstream instances as routes see it."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class PieceProfile:
    """
    Describe how the instances of a pool work on pieces.

    Attributes
    ----------
    concurrency : int
        Calls that one instance works on at a time.
    batch_limit : int
        Most pieces of one call.
    call_ms : float
        Time of a call beside its pieces.
    piece_ms : float
        Approximate time of one piece.
    room_bytes : int
        Space for results at one instance.
    kept_ms : float
        How long a result is kept that nobody frees.
    """

    concurrency: int
    batch_limit: int
    call_ms: float
    piece_ms: float
    room_bytes: int
    kept_ms: float

    def estimate_ms(self, pieces: int) -> float:
        """Return the expected time of a call in milliseconds."""
        return self.call_ms + self.piece_ms * pieces


@dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamPool:
    """
    Describe one pool.

    Attributes
    ----------
    name : str
        Name, as routes use it.
    max_connections : int
        Connections that one instance accepts from all callers together.
    pieces : PieceProfile or None
        Set when the pool serves stages.
    is_engine : bool
        Whether its instances are model engines.
    warm_up_ms : float
        How long an instance warms up after its start; 0 for not at all.
    warm_up_per_s : float
        Requests a second that it tolerates meanwhile; 0 for any number.
    """

    name: str
    max_connections: int
    pieces: PieceProfile | None = None
    is_engine: bool = False
    warm_up_ms: float = 0
    warm_up_per_s: float = 0
