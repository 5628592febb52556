"""Serve the metrics and the status of a gateway."""

import msgspec
from aiohttp import web

from ragworthollow.quarantine.operator_messages import (
    QUARANTINE_PATH,
    RELEASE_PATH,
    ReleaseRequest,
    ReleaseResponse,
)
from ragworthollow.transport.responses import Problem, respond
from ragworthollow.upstreams.operator_messages import INSTANCES_PATH
from ragworthollow.utils import decode_json, get_monotonic_ms
from ragworthollow.utils.message import Message
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.instances_view import describe_instances
from ragworthollow_daemon.gateway.piece_client import PieceClient

_BAD_REQUEST = 400


class GatewayStatus(Message, omit_defaults=False):
    """
    Describe the state of a gateway.

    Attributes
    ----------
    instance, incarnation : str
        Name of the gateway, and identifier of its process.
    version : int or None
        Version of the active configuration.
    list_age_ms : int or None
        Age of the list of instances, in milliseconds.
    members : int
        Number of gateways that this one knows, including itself.
    draining : bool
        Whether it is shutting down.
    in_flight : int
        Number of requests in flight.
    instances : dict
        Names of the instances that may get work, by pool.
    waits_ms : dict
        Expected waits of pools that have a scheduler, in milliseconds, for
        the most urgent requests.
    store_calls : int
        Number of calls to the store since the start.
    violations : int
        Number of violated invariants since the start; any is a defect.
    """

    instance: str
    incarnation: str
    version: int | None
    list_age_ms: int | None
    members: int
    draining: bool
    in_flight: int
    instances: dict[str, list[str]]
    waits_ms: dict[str, float]
    store_calls: int
    violations: int


class StatusRoutes:
    """
    Handle the requests of monitoring systems and operators.

    Parameters
    ----------
    context : GatewayContext
        Shared state of this gateway.
    pieces : PieceClient
        Provides the expected waits of pools.
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        pieces: PieceClient,
    ) -> None:
        self._context = context
        self._pieces = pieces

    def make_application(self) -> web.Application:
        """Create the web application for the metrics address."""
        application = web.Application()
        application.router.add_get('/metrics', self.get_metrics)
        application.router.add_get('/status', self.get_status)
        application.router.add_get(INSTANCES_PATH, self.get_instances)
        application.router.add_get(QUARANTINE_PATH, self.list_quarantined)
        application.router.add_post(RELEASE_PATH, self.release)
        return application

    async def get_metrics(self, _request: web.Request) -> web.Response:
        """Render the metrics in the Prometheus text format."""
        context = self._context
        table = context.route_table
        context.metrics.set_state('version', table.version if table else 0)
        context.metrics.set_state('in_flight', context.drain.in_flight)
        context.metrics.set_state('store_calls', context.store.calls)
        context.metrics.set_state('members', context.members)
        view = describe_instances(context)
        context.metrics.set_state('drained_domains', len(view.drained))
        context.metrics.set_state('warming_instances', len(view.warming))
        context.metrics.set_state('limited_instances', len(view.limited))
        quarantine = context.quarantine
        context.metrics.set_state('crash_suspects', quarantine.count())
        context.metrics.set_state(
            'quarantined',
            len(quarantine.list_quarantined()),
        )
        return web.Response(
            body=context.metrics.render(),
            headers={'Content-Type': 'text/plain; version=0.0.4'},
        )

    async def get_status(self, _request: web.Request) -> web.Response:
        """Return the status as JSON."""
        context = self._context
        table = context.route_table
        pools = table.pools if table else {}
        scheduled_pools = [
            pool_config.name
            for pool_config in pools.values()
            if pool_config.pieces
        ]
        return respond(
            GatewayStatus(
                instance=context.settings.instance,
                incarnation=context.incarnation,
                version=table.version if table else None,
                list_age_ms=self._get_list_age_ms(),
                members=context.members,
                draining=context.drain.is_draining,
                in_flight=context.drain.in_flight,
                instances={pool: self._list_instances(pool) for pool in pools},
                waits_ms=self._pieces.get_waits_ms(scheduled_pools, 0),
                store_calls=context.store.calls,
                violations=context.monitor.violations,
            ),
        )

    async def get_instances(self, _request: web.Request) -> web.Response:
        """Return drained failure domains and throttled instances as JSON."""
        return respond(describe_instances(self._context))

    async def list_quarantined(self, _request: web.Request) -> web.Response:
        """Return the quarantined requests as JSON."""
        return respond(self._context.quarantine.list_quarantined())

    async def release(self, request: web.Request) -> web.Response:
        """Release a request from quarantine on all gateways."""
        body = await request.read()
        try:
            order = decode_json(body, ReleaseRequest)
        except msgspec.DecodeError as error:
            return respond(Problem(error=str(error)), status=_BAD_REQUEST)
        is_released = self._context.quarantine.release(order.fingerprint)
        return respond(ReleaseResponse(is_released=is_released))

    def _list_instances(self, pool: str) -> list[str]:
        instances = self._context.directory.get_pool(pool)
        return [instance.instance for instance in instances]

    def _get_list_age_ms(self) -> int | None:
        age_ms = get_monotonic_ms() - self._context.directory.updated_ms
        return int(age_ms) if age_ms < float('inf') else None
