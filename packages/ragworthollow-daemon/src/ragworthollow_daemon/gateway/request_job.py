"""Define one caller's request on its way through a gateway."""

from dataclasses import dataclass

from aiohttp import web

from ragworthollow.exchange import RequestTerms
from ragworthollow.routes import KeyHolder, Route, RouteTable
from ragworthollow.routes.homes import Homes, intersect_homes
from ragworthollow.utils import get_monotonic_ms


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestJob:
    """
    Hold what is known of a request once it is admitted.

    Attributes
    ----------
    request : BaseRequest
        As received, its body read.
    body : bytes
        Whole body.
    terms : RequestTerms
        What the caller asks for.
    route : Route
        Route in force when the request came.
    holder : KeyHolder or None
        Who sent it; None for a public route.
    pool : str
        Pool that is to answer it.
    table : RouteTable
        Configuration by which it is served.
    waited_ms : float
        How long its caller has waited before it came back; 0 for a first
        request.
    fingerprint : str
        The same for each try of the same work.
    received_ms, deadline_ms : float
        On the monotonic clock; after the deadline nobody waits any more.
    """

    request: web.BaseRequest
    body: bytes
    terms: RequestTerms
    route: Route
    holder: KeyHolder | None
    pool: str
    table: RouteTable
    waited_ms: float
    fingerprint: str
    received_ms: float
    deadline_ms: float

    def get_goal_ms(self) -> float:
        """Return when its objective is missed; it counts from the first try."""
        return self.received_ms - self.waited_ms + self.route.objective_ms

    def get_remaining_ms(self) -> float:
        """Return the time left in milliseconds."""
        return self.deadline_ms - get_monotonic_ms()

    def get_active_stages(self) -> tuple[int, ...]:
        """Return the positions of the stages that have pieces."""
        counts = self.terms.piece_counts
        return tuple(
            position
            for position in range(len(self.route.stages))
            if position < len(counts) and counts[position] > 0
        )

    def get_pools(self) -> tuple[str, ...]:
        """Return the pools that have to work on it, its stages' first."""
        stages = tuple(
            self.route.stages[position].pool
            for position in self.get_active_stages()
        )
        return (*stages, self.pool)

    def get_homes(self) -> Homes | None:
        """Return the regions in which it may run; None for any."""
        own = None if self.holder is None else self.holder.homes
        return intersect_homes(self.route.homes, own)

    def get_priority(self) -> int:
        """Return the rank, the organisation's before the route's."""
        if self.holder is not None and self.holder.priority is not None:
            return self.holder.priority
        return self.route.priority

    def get_organisation(self) -> str:
        """Return the organisation's name; empty without a key."""
        return '' if self.holder is None else self.holder.organisation
