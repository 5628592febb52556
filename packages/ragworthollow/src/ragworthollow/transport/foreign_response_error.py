"""Define the error for a connection that carries responses of others."""

import aiohttp


class ForeignResponseError(aiohttp.ClientPayloadError):
    """
    Report that the response to a request cannot be found.

    Responses to earlier requests came on the connection instead, more than may
    be discarded, without an end, or as a part that its own one was joined to.
    """
