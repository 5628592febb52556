"""Read the responses of one connection."""

from aiohttp.client_proto import ResponseHandler

from ragworthollow.transport.connection_end import ConnectionEnd


class ResponseProtocol(ResponseHandler):
    """
    Read responses and record how the connection ended.

    Attributes
    ----------
    connection_end : ConnectionEnd or None
        None while the connection is open.
    """

    connection_end: ConnectionEnd | None = None

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record the end before readers of the body are notified."""
        self.connection_end = (
            ConnectionEnd.closed if exc is None else ConnectionEnd.failed
        )
        super().connection_lost(exc)
