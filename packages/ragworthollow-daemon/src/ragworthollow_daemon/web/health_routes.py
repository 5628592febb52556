"""Serve health, readiness, metrics and status."""

from collections.abc import Callable

from aiohttp import web

from ragworthollow.transport.responses import Problem, respond
from ragworthollow.utils.message import Message
from ragworthollow_daemon.process_context import ProcessContext

_UNAVAILABLE = 503

GetDetails = Callable[[], dict[str, object]]

DETAILS_KEY: web.AppKey[GetDetails] = web.AppKey('details', GetDetails)


class Status(Message, omit_defaults=False):
    """
    Report the state of a process.

    Attributes
    ----------
    instance, incarnation, role, failure_domain : str
        Identity of the process.
    generation : int
        Active configuration generation.
    draining : bool
        Whether the process is shutting down.
    in_flight : int
        Number of calls in progress.
    platform_calls : int
        Calls to the key-value service since the process started.
    violations : int
        Invariant violations since the process started; each indicates a
        defect.
    details : dict
        Additional values of the role.
    """

    instance: str
    incarnation: str
    role: str
    failure_domain: str
    generation: int
    draining: bool
    in_flight: int
    platform_calls: int
    violations: int
    details: dict[str, object] = {}


class HealthRoutes:
    """
    Serve the monitoring endpoints of this process.

    Parameters
    ----------
    context : ProcessContext
        Context of this process.
    """

    def __init__(self, *, context: ProcessContext) -> None:
        self._context = context

    def add_to(self, application: web.Application) -> None:
        """Add the routes to an application."""
        application.router.add_get('/healthz', self.get_health)
        application.router.add_get('/readyz', self.get_readiness)
        application.router.add_get('/metrics', self.get_metrics)
        application.router.add_get('/status', self.get_status)

    async def get_health(self, _request: web.Request) -> web.Response:
        """Respond as long as the event loop runs."""
        return web.Response(text='ok\n')

    async def get_readiness(self, _request: web.Request) -> web.Response:
        """Report to the load balancer whether to send new requests."""
        if self._context.drain.is_draining:
            return respond(Problem(error='draining'), status=_UNAVAILABLE)
        if not self._context.store.generation:
            return respond(
                Problem(error='no configuration'), status=_UNAVAILABLE
            )
        return web.Response(text='ready\n')

    async def get_metrics(self, _request: web.Request) -> web.Response:
        """Render the metrics in the Prometheus text format."""
        context = self._context
        context.metrics.set_state('generation', context.store.generation)
        context.metrics.set_state('in_flight', context.drain.in_flight)
        context.metrics.set_state('platform_calls', context.key_value.calls)
        return web.Response(
            body=context.metrics.render(),
            headers={'Content-Type': 'text/plain; version=0.0.4'},
        )

    async def get_status(self, request: web.Request) -> web.Response:
        """Return the state as JSON."""
        context = self._context
        get_details = request.app.get(DETAILS_KEY, dict)
        return respond(
            Status(
                instance=context.settings.instance,
                incarnation=context.incarnation,
                role=context.settings.role,
                failure_domain=context.settings.failure_domain,
                generation=context.store.generation,
                draining=context.drain.is_draining,
                in_flight=context.drain.in_flight,
                platform_calls=context.key_value.calls,
                violations=context.monitor.violations,
                details=get_details(),
            ),
        )
