"""Record the exchange that a response ends."""

from typing import Self

import aiohttp
from aiohttp.connector import Connection

from ragworthollow.transport.exchange import Exchange
from ragworthollow.transport.response_protocol import ResponseProtocol


class ExchangeResponse(aiohttp.ClientResponse):
    """
    Read a response, and describe its exchange.

    Attributes
    ----------
    exchange : Exchange or None
        None until the head has been read. A response without a body gives its
        connection back as soon as that has happened, so that the connection
        cannot be examined afterwards.
    """

    exchange: Exchange | None = None

    async def start(self, connection: Connection) -> Self:
        """Read the head."""
        protocol = connection.protocol
        await super().start(connection)
        if isinstance(protocol, ResponseProtocol):
            self.exchange = protocol.describe_exchange(self.headers)
        return self
