"""Decode the operators' configuration into routes, pools and keys."""

import msgspec
from result import Err, Ok, Result

from ragworthollow.platform.exceptions import PlatformError
from ragworthollow.routes import (
    KeyHolder,
    PieceProfile,
    RequestLimits,
    Route,
    RouteKind,
    RouteTable,
    StageDefinition,
    UpstreamPool,
    WeightedPool,
)
from ragworthollow.routes.allowed_regions import AllowedRegions
from ragworthollow.utils.message import Message

CONFIGURATION_KEY = 'op/config'

_BYTES_PER_MB = 1_000_000


class _Split(Message):
    """Give a pool (`backend`) its part of a route."""

    backend: str
    weight: float = 1.0


class _Stage(Message):
    """Describe a step; `bytes` is the size of one piece's result."""

    backend: str
    after: tuple[int, ...] = ()
    result_bytes: int = msgspec.field(name='bytes', default=0)


class _Route(Message):
    """
    Describe a route.

    `slo_ms` is the latency objective (of the first event for a stream);
    `backend` names the only pool where `backends` does not split, and
    `allowed_regions` the regions in which its requests may run.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: float
    slo_ms: float
    priority: int = 0
    backend: str = ''
    backends: tuple[_Split, ...] = ()
    max_attempts: int = 1
    stages: tuple[_Stage, ...] = ()
    public: bool = False
    can_resume: bool = False
    allowed_regions: tuple[str, ...] | None = None


class _Pieces(Message):
    """Describe stage work; `headroom_mb` is one instance's result space."""

    slots: int = 1
    batch: int = 1
    call_ms: float = 0
    item_ms: float = 0
    headroom_mb: float = 0
    handle_s: float = 0


class _Service(Message):
    """
    Describe a pool; `engine` is present for model engines only.

    `cold_start_s` is how long an instance warms up after its start, and
    `cold_per_s` the requests a second that it tolerates until then.
    """

    name: str
    max_conns: int = 0
    pieces: _Pieces | None = None
    engine: dict[str, object] | None = None
    cold_start_s: float = 0
    cold_per_s: float = 0


class _Limits(Message):
    """Bound what callers send."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Tenant(Message):
    """
    Describe an organisation (`tenant`) and its keys.

    `allowed_regions` are the regions in which its requests may run.
    """

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    allowed_regions: tuple[str, ...] | None = None


class _Configuration(Message):
    """Hold one version in full."""

    version: int
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits | None = None
    tenants: tuple[_Tenant, ...] | None = None


def decode_configuration(text: bytes) -> Result[RouteTable, PlatformError]:
    """
    Decode one version of the configuration.

    Parameters
    ----------
    text : bytes
        JSON as the operators' tools wrote it.

    Returns
    -------
    Result
        The table, or why the text cannot be one.
    """
    try:
        found = msgspec.json.decode(text, type=_Configuration)
    except msgspec.DecodeError as error:
        return Err(
            PlatformError(
                step='configuration',
                peer=CONFIGURATION_KEY,
                detail=str(error),
                may_have_applied=False,
            ),
        )
    return Ok(_to_table(found))


def _to_table(found: _Configuration) -> RouteTable:
    tenants = found.tenants or ()
    return RouteTable(
        version=found.version,
        routes=[_to_route(route) for route in found.routes],
        pools={one.name: _to_pool(one) for one in found.services},
        holders_by_key={
            key: KeyHolder(
                organisation=one.name,
                priority=one.priority,
                allowed_regions=_to_homes(one.allowed_regions),
            )
            for one in tenants
            for key in one.api_keys
        },
        requires_key=found.tenants is not None,
        limits=_to_limits(found.limits),
    )


def _to_route(found: _Route) -> Route:
    splits = found.backends or (_Split(backend=found.backend),)
    return Route(
        name=found.name,
        host=found.host.lower(),
        path_prefix=found.path_prefix,
        kind=found.kind,
        weighted_pools=tuple(
            WeightedPool(pool=split.backend, weight=split.weight)
            for split in splits
        ),
        stages=tuple(
            StageDefinition(
                pool=stage.backend,
                after=stage.after,
                result_bytes=stage.result_bytes,
            )
            for stage in found.stages
        ),
        timeout_ms=found.timeout_ms,
        objective_ms=found.slo_ms,
        max_attempts=found.max_attempts,
        priority=found.priority,
        is_public=found.public,
        can_resume=found.can_resume,
        allowed_regions=_to_homes(found.allowed_regions),
    )


def _to_homes(regions: tuple[str, ...] | None) -> AllowedRegions | None:
    """Return the homes that a list names; an empty one names none."""
    return frozenset(regions) if regions else None


def _to_pool(found: _Service) -> UpstreamPool:
    pieces = None
    if found.pieces is not None:
        pieces = PieceProfile(
            concurrency=found.pieces.slots,
            batch_limit=found.pieces.batch,
            call_ms=found.pieces.call_ms,
            piece_ms=found.pieces.item_ms,
            result_space_bytes=int(found.pieces.headroom_mb * _BYTES_PER_MB),
            result_ttl_ms=found.pieces.handle_s * 1000,
        )
    return UpstreamPool(
        name=found.name,
        max_connections=found.max_conns,
        pieces=pieces,
        is_engine=found.engine is not None,
        warm_up_ms=found.cold_start_s * 1000,
        warm_up_per_s=found.cold_per_s,
    )


def _to_limits(found: _Limits | None) -> RequestLimits:
    if found is None:
        return RequestLimits()
    return RequestLimits(
        header_bytes=found.max_header_bytes,
        body_bytes=found.max_body_bytes,
        header_timeout_ms=found.header_timeout_ms,
        idle_timeout_ms=found.idle_timeout_ms,
    )
