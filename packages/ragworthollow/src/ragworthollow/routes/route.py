"""Define routes, which map requests to pools and set their parameters."""

import enum
from dataclasses import dataclass

from ragworthollow.routes.allowed_regions import AllowedRegions
from ragworthollow.utils.hashing import get_fraction


class RouteKind(enum.StrEnum):
    """Classify requests by whether they may be repeated or are streamed."""

    safe = 'safe'
    unsafe = 'unsafe'
    stream = 'stream'


@dataclass(frozen=True, kw_only=True, slots=True)
class WeightedPool:
    """
    Assign a weighted share of a route's requests to a pool.

    Attributes
    ----------
    pool : str
        Name of the pool.
    weight : float
        Relative weight; 0 sends the pool no requests.
    """

    pool: str
    weight: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class StageDefinition:
    """
    Describe one stage of work that precedes the request itself.

    Attributes
    ----------
    pool : str
        Pool that runs the stage.
    after : tuple of int
        Positions of the stages whose results it needs.
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
        Host name that callers send, in lower case.
    path_prefix : str
        Prefix of the path, with a slash at both ends.
    kind : RouteKind
        Whether requests may be repeated, and whether responses are streams.
    weighted_pools : tuple of WeightedPool
        Pools that serve the route, with their weights.
    stages : tuple of StageDefinition
        Stages that run before the request itself, by position.
    timeout_ms : float
        Maximum time that a caller is kept waiting.
    objective_ms : float
        Latency objective; for a stream, the objective for its first event.
    max_attempts : int
        Maximum number of upstream instances that one request is sent to.
    priority : int
        Priority of its requests, 0 first.
    is_public : bool
        Whether requests are served without an API key.
    can_resume : bool
        Whether a stream may be resumed at another instance.
    allowed_regions : frozenset of str or None
        Regions in which its requests may run; None for any.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    weighted_pools: tuple[WeightedPool, ...]
    stages: tuple[StageDefinition, ...] = ()
    timeout_ms: float
    objective_ms: float
    max_attempts: int = 1
    priority: int = 0
    is_public: bool = False
    can_resume: bool = False
    allowed_regions: AllowedRegions | None = None

    def get_split(self) -> tuple[str, bool, tuple[WeightedPool, ...]]:
        """Return what decides which pool gets which of its streams."""
        weighted_pools = (
            tuple(
                weighted for weighted in self.weighted_pools if weighted.weight
            )
            or self.weighted_pools[:1]
        )
        return self.name, self.is_stream(), weighted_pools

    def choose_pool(self, request_id: str) -> str:
        """
        Choose one of the pools by weight, the same at every gateway.

        Parameters
        ----------
        request_id : str
            Identifier of the request.
        """
        name, _, weighted_pools = self.get_split()
        total = sum(weighted.weight for weighted in weighted_pools)
        remaining = get_fraction(request_id, name) * total
        for weighted in weighted_pools:
            remaining -= weighted.weight
            if remaining < 0:
                return weighted.pool
        return weighted_pools[-1].pool

    def list_pools(self, request_id: str) -> frozenset[str]:
        """
        Return the pools that may get a request.

        Parameters
        ----------
        request_id : str
            Identifier of the request; empty if it is not known.
        """
        if request_id:
            return frozenset((self.choose_pool(request_id),))
        _, _, weighted_pools = self.get_split()
        return frozenset(weighted.pool for weighted in weighted_pools)

    def is_idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RouteKind.stream:
            return self.can_resume
        return self.kind is RouteKind.safe

    def is_stream(self) -> bool:
        """Return whether responses are event streams."""
        return self.kind is RouteKind.stream

    def get_final_stages(self) -> tuple[int, ...]:
        """Return the positions of the stages that no other stage depends on."""
        followed = {
            position for stage in self.stages for position in stage.after
        }
        return tuple(
            position
            for position in range(len(self.stages))
            if position not in followed
        )
