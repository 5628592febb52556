"""Read the responses of one connection."""

import aiohttp
from aiohttp.client_proto import ResponseHandler

from ragworthollow.transport.connection_end import ConnectionEnd


class ResponseProtocol(ResponseHandler):
    """
    Read responses, and treat a failed connection as an incomplete body.

    A body without a length or chunks ends with its connection. The base class
    reports its end in the same way whether the peer closed the connection or
    the connection was reset or timed out.

    Attributes
    ----------
    connection_end : ConnectionEnd or None
        None while the connection is open.
    """

    connection_end: ConnectionEnd | None = None

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
