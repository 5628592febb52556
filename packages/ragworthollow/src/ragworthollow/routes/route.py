"""Define a route: which requests go to which pools, and on what terms."""

import enum
from dataclasses import dataclass

from ragworthollow.routes.homes import Homes


class RouteKind(enum.StrEnum):
    """Say what a request may suffer and what its answer is."""

    safe = 'safe'
    unsafe = 'unsafe'
    stream = 'stream'


@dataclass(frozen=True, kw_only=True, slots=True)
class PoolShare:
    """
    Give a pool a part of a route's requests.

    Attributes
    ----------
    pool : str
        Name of the pool.
    weight : float
        Relative part; 0 sends it nothing.
    """

    pool: str
    weight: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class StageStep:
    """
    Describe work that is done before the request itself can run.

    Attributes
    ----------
    pool : str
        Pool that does it.
    after : tuple of int
        Positions of the steps whose results it needs.
    result_bytes : int
        Approximate size of the result of one piece.
    """

    pool: str
    after: tuple[int, ...] = ()
    result_bytes: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """
    Describe one route.

    Attributes
    ----------
    name : str
        Name, for logs.
    host : str
        Host that callers name, in lower case.
    path_prefix : str
        Start of the path, with a slash at both ends.
    kind : RouteKind
        What may be repeated, and whether the answer is a stream.
    shares : tuple of PoolShare
        Pools that serve it.
    stages : tuple of StageStep
        Work before it, by position.
    timeout_ms : float
        Longest time that a caller is kept waiting.
    objective_ms : float
        Latency objective; for a stream, of its first event.
    max_attempts : int
        Most upstream instances that one request may be sent to.
    priority : int
        Rank, 0 first.
    is_public : bool
        Whether it is served without a key.
    can_resume : bool
        Whether a stream may go on at another instance.
    homes : frozenset of str or None
        Regions in which its requests may run; None for any.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[PoolShare, ...]
    stages: tuple[StageStep, ...] = ()
    timeout_ms: float
    objective_ms: float
    max_attempts: int = 1
    priority: int = 0
    is_public: bool = False
    can_resume: bool = False
    homes: Homes | None = None

    def is_idempotent(self) -> bool:
        """Tell whether a request may run more than once."""
        if self.kind is RouteKind.stream:
            return self.can_resume
        return self.kind is RouteKind.safe

    def is_stream(self) -> bool:
        """Tell whether answers are event streams."""
        return self.kind is RouteKind.stream

    def get_final_steps(self) -> tuple[int, ...]:
        """Return the positions of the steps that no other step follows."""
        followed = {
            position for stage in self.stages for position in stage.after
        }
        return tuple(
            position
            for position in range(len(self.stages))
            if position not in followed
        )
