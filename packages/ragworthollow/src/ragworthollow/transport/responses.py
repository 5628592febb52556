"""Build HTTP responses out of typed messages."""

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
        Typed message.
    status : int
        HTTP status code.

    Returns
    -------
    Response
        With content type `application/json`.
    """
    return web.Response(
        body=msgspec.json.encode(message),
        status=status,
        content_type=JSON_TYPE,
    )


class Problem(Message):
    """
    Answer a call between processes that cannot be served.

    Attributes
    ----------
    error : str
        One sentence.
    """

    error: str
