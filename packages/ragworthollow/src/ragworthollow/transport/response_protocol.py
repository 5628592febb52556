"""Read the responses of one connection."""

import asyncio
from collections.abc import Mapping

import aiohttp
from aiohttp.client_proto import ResponseHandler

from ragworthollow.transport.connection_end import ConnectionEnd
from ragworthollow.transport.exchange import Exchange
from ragworthollow.utils import get_monotonic_ms


class ResponseProtocol(ResponseHandler):
    """
    Read responses, and treat a failed connection as an incomplete body.

    A body without a length or chunks ends with its connection. The base class
    reports its end in the same way whether the peer closed the connection or
    the connection was reset or timed out.

    Parameters
    ----------
    loop : AbstractEventLoop
        Loop of the connection.
    identity_header : str
        Header in which requests and their responses name the request; empty if
        the peer names none.

    Attributes
    ----------
    connection_end : ConnectionEnd or None
        None while the connection is open.
    """

    connection_end: ConnectionEnd | None = None

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        *,
        identity_header: str = '',
    ) -> None:
        super().__init__(loop=loop)
        self._identity_header = identity_header
        self._exchange_count = 0
        self._began_ms: float = 0

    def begin_exchange(self) -> None:
        """Count a request that is about to be sent."""
        self._exchange_count += 1
        self._began_ms = get_monotonic_ms()

    def describe_exchange(self, headers: Mapping[str, str]) -> Exchange:
        """Describe the exchange of a response whose head has just been read."""
        return Exchange(
            number=self._exchange_count,
            response_id=headers.get(self._identity_header, ''),
            head_after_ms=get_monotonic_ms() - self._began_ms,
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a body that is not complete, and record the end."""
        if exc is None:
            self.connection_end = ConnectionEnd.closed
        else:
            self.connection_end = ConnectionEnd.failed
            self._fail_body(exc)
        super().connection_lost(exc)

    def _fail_body(self, error: BaseException) -> None:
        body = self._payload
        if body is not None and not body.is_eof():
            body.set_exception(
                aiohttp.ClientPayloadError(
                    f'the connection failed before the end: {error!r}'
                ),
                error,
            )
