"""Build HTTP responses from typed messages."""

import msgspec
from aiohttp import web

from ragworthollow.utils.message import Message

JSON_TYPE = 'application/json'


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
