"""Build HTTP responses from typed messages."""

from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from ragworthollow.utils.message import Message

EXCHANGE_HEADER = 'X-Ragworthollow-Exchange-Id'
JSON_TYPE = 'application/json'

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def respond(message: object, *, status: int = 200) -> web.Response:
    """
    Encode a message as JSON.

    Parameters
    ----------
    message : object
        Message to encode.
    status : int
        HTTP status code.

    Returns
    -------
    Response
        Response with content type `application/json`.
    """
    return web.Response(
        body=msgspec.json.encode(message),
        status=status,
        content_type=JSON_TYPE,
    )


class Problem(Message):
    """
    Report why a call between processes cannot be served.

    Attributes
    ----------
    error : str
        Explanation in one sentence.
    """

    error: str


@web.middleware
async def return_identifier(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Name the request of a peer in the response to it."""
    response = await handler(request)
    identifier = request.headers.get(EXCHANGE_HEADER)
    if identifier is not None:
        response.headers[EXCHANGE_HEADER] = identifier
    return response
