"""Create the HTTP application of a process."""

from collections.abc import Awaitable, Callable

from aiohttp import web

from ragworthollow.conf import global_settings
from ragworthollow.transport.authentication import is_authentic
from ragworthollow.transport.responses import Problem, respond
from ragworthollow_daemon.process_context import ProcessContext
from ragworthollow_daemon.web.configuration_routes import ConfigurationRoutes
from ragworthollow_daemon.web.health_routes import HealthRoutes

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

# Callers, operators, metrics scrapers and the load balancer use these paths
# and the scraped ones below. All others are for processes of this deployment
# only.
_OPEN_PATHS = ('/v1/pipelines/', '/v1/operator/', '/healthz', '/readyz')
_STAGES_PATH = '/v1/stages'
_SCRAPED_PATHS = ('/metrics', '/status')


def make_application(context: ProcessContext) -> web.Application:
    """
    Create the application with the routes common to both roles.

    Parameters
    ----------
    context : ProcessContext
        Context of this process.

    Returns
    -------
    Application
        Application to which a role adds its own routes.
    """

    @web.middleware
    async def authenticate(
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        is_open = request.path.startswith((*_OPEN_PATHS, *_SCRAPED_PATHS))
        cluster_key = context.settings.cluster_key
        if not is_open and not is_authentic(request.headers, cluster_key):
            context.metrics.count_event('unauthenticated_peer')
            return respond(Problem(error='unauthenticated'), status=401)
        if not is_open and request.path != _STAGES_PATH:
            context.metrics.count_event('control_message')
        response = await handler(request)
        if context.drain.is_draining and not response.prepared:
            # Makes the client send its next request to another process.
            response.force_close()
        return response

    application = web.Application(
        middlewares=[authenticate],
        client_max_size=global_settings.MAX_BODY_BYTES,
    )
    HealthRoutes(context=context).add_to(application)
    ConfigurationRoutes(context=context).add_to(application)
    return application
