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
from ragworthollow.utils import decode_json
from ragworthollow.utils.message import Message

CONFIGURATION_KEY = 'op/config'

_BYTES_PER_MB = 1_000_000


class _Split(Message):
    """Assign a pool (`backend`) its weight in a route."""

    backend: str
    weight: float = 1.0


class _Stage(Message):
    """Define a stage; `bytes` is the size of one piece's result."""

    backend: str
    after: tuple[int, ...] = ()
    result_bytes: int = msgspec.field(name='bytes', default=0)


class _Route(Message):
    """
    Define a route.

    `slo_ms` is the latency objective, for a stream that of the first event.
    `backend` names the only pool of a route without `backends`, and
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
    """Define stage work; `headroom_mb` is one instance's result space."""

    slots: int = 1
    batch: int = 1
    call_ms: float = 0
    item_ms: float = 0
    headroom_mb: float = 0
    handle_s: float = 0


class _Service(Message):
    """
    Define a pool; `engine` is present for model engines only.

    `cold_start_s` is the warm-up time of an instance after its start, and
    `cold_per_s` the requests per second that it tolerates during it.
    """

    name: str
    max_conns: int = 0
    pieces: _Pieces | None = None
    engine: dict[str, object] | None = None
    cold_start_s: float = 0
    cold_per_s: float = 0


class _Limits(Message):
    """Limit the requests of callers."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Tenant(Message):
    """
    Define an organisation (`tenant`) and its API keys.

    `allowed_regions` are the regions in which its requests may run.
    """

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    allowed_regions: tuple[str, ...] | None = None


class _Configuration(Message):
    """Hold one complete version of the configuration."""

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
        JSON as written by the operators' tools.

    Returns
    -------
    Result
        The route table, or the error with the reason why it is invalid.
    """
    try:
        configuration = decode_json(text, _Configuration)
    except msgspec.DecodeError as error:
        return Err(
            PlatformError(
                step='configuration',
                peer=CONFIGURATION_KEY,
                detail=str(error),
                may_have_applied=False,
            ),
        )
    return Ok(_to_route_table(configuration))


def _to_route_table(configuration: _Configuration) -> RouteTable:
    tenants = configuration.tenants or ()
    return RouteTable(
        version=configuration.version,
        routes=[_to_route(route) for route in configuration.routes],
        pools={item.name: _to_pool(item) for item in configuration.services},
        holders_by_key={
            key: KeyHolder(
                organisation=item.name,
                priority=item.priority,
                allowed_regions=_to_allowed_regions(item.allowed_regions),
            )
            for item in tenants
            for key in item.api_keys
        },
        requires_key=configuration.tenants is not None,
        limits=_to_limits(configuration.limits),
    )


def _to_route(route: _Route) -> Route:
    splits = route.backends or (_Split(backend=route.backend),)
    return Route(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        kind=route.kind,
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
            for stage in route.stages
        ),
        timeout_ms=route.timeout_ms,
        objective_ms=route.slo_ms,
        max_attempts=route.max_attempts,
        priority=route.priority,
        is_public=route.public,
        can_resume=route.can_resume,
        allowed_regions=_to_allowed_regions(route.allowed_regions),
    )


def _to_allowed_regions(
    regions: tuple[str, ...] | None,
) -> AllowedRegions | None:
    """Return the regions of a list; None, for any, if the list is empty."""
    return frozenset(regions) if regions else None


def _to_pool(service: _Service) -> UpstreamPool:
    pieces = None
    if service.pieces is not None:
        pieces = PieceProfile(
            concurrency=service.pieces.slots,
            batch_limit=service.pieces.batch,
            call_ms=service.pieces.call_ms,
            piece_ms=service.pieces.item_ms,
            result_space_bytes=int(service.pieces.headroom_mb * _BYTES_PER_MB),
            result_ttl_ms=service.pieces.handle_s * 1000,
        )
    return UpstreamPool(
        name=service.name,
        max_connections=service.max_conns,
        pieces=pieces,
        is_engine=service.engine is not None,
        warm_up_ms=service.cold_start_s * 1000,
        warm_up_per_s=service.cold_per_s,
    )


def _to_limits(limits: _Limits | None) -> RequestLimits:
    if limits is None:
        return RequestLimits()
    return RequestLimits(
        header_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        header_timeout_ms=limits.header_timeout_ms,
        idle_timeout_ms=limits.idle_timeout_ms,
    )
