"""Describe routes, the pools that serve them and the owners of API keys."""

from ragworthollow.routes.key_holder import KeyHolder
from ragworthollow.routes.request_limits import RequestLimits
from ragworthollow.routes.route import (
    Route,
    RouteKind,
    StageDefinition,
    WeightedPool,
)
from ragworthollow.routes.route_history import RouteHistory
from ragworthollow.routes.route_table import RouteTable
from ragworthollow.routes.upstream_pool import PieceProfile, UpstreamPool

__all__ = (
    'KeyHolder',
    'PieceProfile',
    'RequestLimits',
    'Route',
    'RouteHistory',
    'RouteKind',
    'RouteTable',
    'StageDefinition',
    'UpstreamPool',
    'WeightedPool',
)
