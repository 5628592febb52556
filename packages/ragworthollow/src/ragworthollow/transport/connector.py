"""Open connections whose responses are checked."""

import functools
from typing import Any

import aiohttp
from aiohttp.client_reqrep import ClientRequest, ConnectionKey
from aiohttp.connector import Connection
from aiohttp.tracing import Trace

from ragworthollow.transport.response_protocol import ResponseProtocol


class Connector(aiohttp.TCPConnector):
    """
    Skip connections whose next response could belong to another request.

    A peer may send a second response after a complete one. aiohttp would use
    it as the response to the next request on the connection. That request may
    have run by then, and its own response would be lost.

    Parameters
    ----------
    identity_header : str
        Header in which requests and their responses name the request; empty if
        the peers name none.
    may_omit_identity : bool
        Whether a response may name no request.
    **options
        Options of `aiohttp.TCPConnector`.
    """

    def __init__(
        self,
        *,
        identity_header: str = '',
        may_omit_identity: bool = False,
        **options: Any,
    ) -> None:
        super().__init__(**options)
        self._factory = functools.partial(
            ResponseProtocol,
            loop=self._loop,
            identity_header=identity_header,
            may_omit_identity=may_omit_identity,
        )

    async def connect(
        self,
        req: ClientRequest,
        traces: list[Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> Connection:
        """
        Return a connection that may carry the request.

        Raises
        ------
        ClientConnectorError
            If a new connection was closed, or carried bytes, at once.
        """
        while True:
            connection = await super().connect(req, traces, timeout)
            protocol = connection.protocol
            if protocol is None:
                return connection
            if protocol.may_carry(req.headers):
                protocol.begin_exchange(req.headers)
                return connection
            is_new = not protocol.has_exchanges()
            connection.close()
            if is_new:
                raise aiohttp.ClientConnectorError(
                    req.connection_key,
                    ConnectionResetError('unusable before any request'),
                )

    def _release(
        self,
        key: ConnectionKey,
        protocol: ResponseProtocol,
        *,
        should_close: bool = False,
    ) -> None:
        protocol.end_exchange()
        super()._release(key, protocol, should_close=should_close)
