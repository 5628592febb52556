"""Define the error for bytes that are no response."""

import aiohttp


class MalformedResponseError(aiohttp.ClientPayloadError):
    """
    Report that a peer sent bytes that are no response.

    The request may have run all the same.
    """
