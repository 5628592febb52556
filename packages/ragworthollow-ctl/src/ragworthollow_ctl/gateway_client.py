"""Client of the operator endpoints at a gateway's metrics address."""

import sys

import aiohttp
import msgspec

from ragworthollow.conf import global_settings
from ragworthollow.transport.bounded_reading import read_bounded
from ragworthollow.transport.connector import Connector
from ragworthollow.utils import decode_json

_TIMEOUT_S = 5
_FAILURE_EXIT_CODE = 1
_REQUEST_ERRORS = (aiohttp.ClientError, TimeoutError, msgspec.DecodeError)


async def query_gateway(
    address: str,
    path: str,
    response_type: type,
    message: object = None,
):
    """
    Send a request to a gateway: POST with a message, otherwise GET.

    Parameters
    ----------
    address : str
        Metrics address of the gateway, `IP:PORT`.
    path : str
        Path of the endpoint.
    response_type : type
        Type to decode the response body as.
    message : object
        Message to post; None sends a GET request.

    Returns
    -------
    object
        Decoded response.  Exits with a message if the request fails.
    """
    url = f'http://{address}{path}'
    body = None if message is None else msgspec.json.encode(message)
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    try:
        async with aiohttp.ClientSession(
            connector=Connector(), timeout=timeout
        ) as session:
            response_body = await _send_request(session, url, body)
        return decode_json(response_body, response_type)
    except _REQUEST_ERRORS as error:
        sys.stderr.write(f'{url}: {error!r}\n')
        sys.exit(_FAILURE_EXIT_CODE)


async def _send_request(
    session: aiohttp.ClientSession,
    url: str,
    body: bytes | None,
) -> bytes:
    method = 'GET' if body is None else 'POST'
    async with session.request(
        method,
        url,
        data=body,
        raise_for_status=True,
    ) as response:
        return await read_bounded(
            response, global_settings.MAX_OPERATOR_RESPONSE_BYTES
        )
