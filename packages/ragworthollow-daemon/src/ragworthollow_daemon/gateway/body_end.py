"""Describe how the body of an upstream response ended."""

from aiohttp import ClientResponse

from ragworthollow.transport.body_framing import get_body_framing
from ragworthollow.transport.connection_end import ConnectionEnd
from ragworthollow.transport.response_protocol import ResponseProtocol


class BodyEnd:
    """
    Describe the end of a body after its response was released.

    Parameters
    ----------
    response : ClientResponse
        Open response whose body has not been read.
    """

    def __init__(self, *, response: ClientResponse) -> None:
        self.framing = get_body_framing(response.headers)
        connection = response.connection
        # The response drops its connection when its body has ended.
        self._protocol = None if connection is None else connection.protocol

    def get_connection_end(self) -> ConnectionEnd | None:
        """Return how the connection ended; None if open or not known."""
        if isinstance(self._protocol, ResponseProtocol):
            return self._protocol.connection_end
        return None
