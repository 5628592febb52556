"""Define an admitted request."""

from dataclasses import dataclass

from aiohttp import web

from ragworthollow.exchange import RequestParameters
from ragworthollow.routes import KeyHolder, Route, RouteTable
from ragworthollow.routes.allowed_regions import (
    AllowedRegions,
    intersect_regions,
)
from ragworthollow.utils import get_monotonic_ms


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestJob:
    """
    Hold a request after its admission.

    Attributes
    ----------
    request : BaseRequest
        The HTTP request, whose body has been read.
    body : bytes
        The complete body.
    request_parameters : RequestParameters
        Options that the caller set in the request headers.
    route : Route
        Route that matched when the request arrived.
    holder : KeyHolder or None
        Owner of the API key; None if the request has no known key and needs
        none.
    pool : str
        Pool that serves the request after its stages.
    route_table : RouteTable
        Configuration that applies to the request.
    waited_ms : float
        Time in milliseconds that the caller had already waited when it
        retried; 0 for a first attempt.
    fingerprint : str
        Identifier that is the same for each attempt at the same work.
    part_fingerprints : tuple of str
        Identifiers of the prompt parts that other requests may share, in
        order.
    key_fingerprint : str
        Identifier of the data that its stages read; empty if it has none.
    received_ms, deadline_ms : float
        Times on the monotonic clock, in milliseconds; after the deadline the
        caller no longer waits for a response.
    """

    request: web.BaseRequest
    body: bytes
    request_parameters: RequestParameters
    route: Route
    holder: KeyHolder | None
    pool: str
    route_table: RouteTable
    waited_ms: float
    fingerprint: str
    part_fingerprints: tuple[str, ...]
    key_fingerprint: str
    received_ms: float
    deadline_ms: float

    def get_path(self) -> str:
        """Return the path without its query string."""
        return self.request.raw_path.partition('?')[0]

    def get_fingerprints(self) -> tuple[str, ...]:
        """Return the fingerprints of the request and of what it shares."""
        return (self.fingerprint, *self.get_shared_fingerprints())

    def get_shared_fingerprints(self) -> tuple[str, ...]:
        """Return the fingerprints of what other requests may have too."""
        if self.key_fingerprint:
            return (*self.part_fingerprints, self.key_fingerprint)
        return self.part_fingerprints

    def get_objective_deadline_ms(self) -> float:
        """Return the objective deadline, counted from the first attempt."""
        return self.received_ms - self.waited_ms + self.route.objective_ms

    def get_remaining_ms(self) -> float:
        """Return the time until the deadline in milliseconds."""
        return self.deadline_ms - get_monotonic_ms()

    def get_active_stages(self) -> tuple[int, ...]:
        """Return the positions of the stages that have pieces."""
        counts = self.request_parameters.piece_counts
        return tuple(
            position
            for position in range(len(self.route.stages))
            if position < len(counts) and counts[position] > 0
        )

    def get_pools(self) -> tuple[str, ...]:
        """Return the pools that process the request, those of stages first."""
        stages = tuple(
            self.route.stages[position].pool
            for position in self.get_active_stages()
        )
        return (*stages, self.pool)

    def get_allowed_regions(self) -> AllowedRegions | None:
        """Return the regions in which the request may run; None for any."""
        holder_regions = (
            None if self.holder is None else self.holder.allowed_regions
        )
        return intersect_regions(self.route.allowed_regions, holder_regions)

    def get_priority(self) -> int:
        """Return the organisation's priority, or else the route's."""
        if self.holder is not None and self.holder.priority is not None:
            return self.holder.priority
        return self.route.priority

    def get_rank(self) -> int:
        """Return the rank by organisation, then by route, 0 first."""
        return self.route_table.get_rank(self.route, self.holder)

    def get_organisation(self) -> str:
        """Return the organisation's name; empty without a known key."""
        return '' if self.holder is None else self.holder.organisation
