"""Keep the connection of a response until its caller has checked it."""

from ragworthollow.transport.exchange_response import ExchangeResponse


class HeldResponse(ExchangeResponse):
    """
    Keep a connection until the response is released or closed.

    The base class gives it back as soon as the last byte was received, for a
    response without a body with its head.  The next request may then be sent
    on it before the response has been found to be another request's.  The
    body must be read from `content`, since `read` releases the response.
    """

    def _response_eof(self) -> None:
        """Keep the connection at the end of the body."""
