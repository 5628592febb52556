"""Open connections whose responses are checked for completeness."""

import functools
from typing import Any

import aiohttp

from ragworthollow.transport.response_protocol import ResponseProtocol


class Connector(aiohttp.TCPConnector):
    """
    Open connections that are read by a `ResponseProtocol`.

    Parameters
    ----------
    identity_header : str
        Header in which requests and their responses name the request; empty if
        the peers name none.
    **options
        Options of `aiohttp.TCPConnector`.
    """

    def __init__(self, *, identity_header: str = '', **options: Any) -> None:
        super().__init__(**options)
        self._factory = functools.partial(
            ResponseProtocol,
            loop=self._loop,
            identity_header=identity_header,
        )
