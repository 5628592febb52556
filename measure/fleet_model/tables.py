"""Build the configuration of a simulated deployment."""

from measure.fleet_model.gateway import ENGINES
from measure.fleet_model.load_sheet import LoadSheet
from ragworthollow.routes import (
    RequestLimits,
    Route,
    RouteKind,
    RouteTable,
    StageDefinition,
    UpstreamPool,
    WeightedPool,
)


def make_route_table(sheet: LoadSheet) -> RouteTable:
    """
    Return the route table of the gateways.

    Parameters
    ----------
    sheet : LoadSheet
        Deployment; each kind becomes a route `/KIND/` of the host `model`.
    """
    return RouteTable(
        version=1,
        routes=[
            Route(
                name=name,
                host='model',
                path_prefix=f'/{name}/',
                kind=RouteKind.stream,
                weighted_pools=(WeightedPool(pool=ENGINES, weight=1),),
                stages=tuple(
                    StageDefinition(
                        pool=stage.pool,
                        after=stage.after,
                        result_bytes=stage.result_bytes,
                    )
                    for stage in kind.stages
                ),
                timeout_ms=kind.timeout_ms,
                objective_ms=kind.objective_ms,
                priority=kind.priority,
            )
            for name, kind in sheet.kinds.items()
        ],
        pools={
            ENGINES: UpstreamPool(
                name=ENGINES,
                max_connections=1000,
                is_engine=True,
            ),
            **{
                name: UpstreamPool(
                    name=name,
                    max_connections=1000,
                    pieces=pool.make_profile(),
                )
                for name, pool in sheet.pools.items()
            },
        },
        holders_by_key={},
        requires_key=False,
        limits=RequestLimits(),
    )
