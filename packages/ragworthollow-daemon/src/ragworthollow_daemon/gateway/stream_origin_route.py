"""Tell peer gateways which software version began a stream."""

import msgspec
from aiohttp import web

from ragworthollow.transport.host_messages import (
    STREAM_ORIGIN_PATH,
    StreamOriginAnswer,
    StreamOriginQuery,
)
from ragworthollow.transport.responses import Problem, respond
from ragworthollow.utils import decode_json, get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext

_BAD_REQUEST = 400


def add_origin_route(
    application: web.Application, context: GatewayContext
) -> None:
    """Add the endpoint to the application for peers."""

    async def tell_origin(request: web.Request) -> web.Response:
        body = await request.read()
        try:
            query = decode_json(body, StreamOriginQuery)
        except msgspec.DecodeError as error:
            return respond(Problem(error=str(error)), status=_BAD_REQUEST)
        return respond(_find_origin(context, query))

    application.router.add_post(STREAM_ORIGIN_PATH, tell_origin)


def _find_origin(
    context: GatewayContext, query: StreamOriginQuery
) -> StreamOriginAnswer:
    now_ms = get_monotonic_ms()
    origin = context.directory.stream_versions.find(query.request_id, now_ms)
    if origin is None:
        return StreamOriginAnswer()
    return StreamOriginAnswer(
        is_known=True,
        software_version=origin.software_version,
        instance=origin.instance,
        pool=origin.pool,
        age_ms=now_ms - origin.began_ms,
        left_ms=origin.expires_ms - now_ms,
    )
