"""Client of the operator API that the entries serve."""

import asyncio
import os
import sys
from collections.abc import Sequence
from contextlib import AbstractAsyncContextManager

import aiohttp
import msgspec

from ragworthollow.conf import global_settings
from ragworthollow.transport.bounded_reading import read_bounded
from ragworthollow.transport.connector import Connector
from ragworthollow.utils import decode_json

KEY_VARIABLE = 'RAGWORTHOLLOW_OPERATOR_KEY'
ENTRIES_VARIABLE = 'RAGWORTHOLLOW_ENTRIES'

_KEY_HEADER = 'X-Ragworthollow-Operator-Key'
_TIMEOUT_S = 20
_ATTEMPTS_PER_ENTRY = 3
_RETRY_DELAY_S = 0.5
_UNAUTHORIZED = 401
_FAILURE_EXIT_CODE = 1
_REQUEST_ERRORS = (aiohttp.ClientError, TimeoutError, msgspec.DecodeError)


class ServiceClient:
    """
    Send each request to one entry after the other until one responds.

    Retries are safe: reads have no side effects, and every change carries a
    change id.

    Parameters
    ----------
    entries : sequence of str
        Base addresses of entries.
    key : str
        Operator key.
    """

    def __init__(self, *, entries: Sequence[str], key: str) -> None:
        self._entries = entries
        self._key = key

    async def get(self, path: str, response_type: type):
        """Send a GET request and return the decoded response."""
        return await self._request('GET', path, None, response_type)

    async def post(self, path: str, message: object, response_type: type):
        """Post a message and return the decoded response."""
        body = msgspec.json.encode(message)
        return await self._request('POST', path, body, response_type)

    async def _request(
        self,
        method: str,
        path: str,
        body: bytes | None,
        response_type: type,
    ):
        failures: list[str] = []
        async with aiohttp.ClientSession(
            connector=Connector(),
            headers={_KEY_HEADER: self._key},
            timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
        ) as session:
            for entry in list(self._entries) * _ATTEMPTS_PER_ENTRY:
                url = f'{entry.rstrip("/")}/v1/operator/{path}'
                request = session.request(method, url, data=body)
                try:
                    return await _send_request(request, response_type)
                except _REQUEST_ERRORS as error:
                    failures.append(f'{url}: {type(error).__name__}\n')
                await asyncio.sleep(_RETRY_DELAY_S)
        sys.stderr.write('no entry responded:\n')
        sys.stderr.writelines(failures)
        sys.exit(_FAILURE_EXIT_CODE)


async def _send_request(
    request: AbstractAsyncContextManager[aiohttp.ClientResponse],
    response_type: type,
):
    async with request as response:
        return await _decode_response(response, response_type)


async def _decode_response(
    response: aiohttp.ClientResponse, response_type: type
):
    body = await read_bounded(
        response, global_settings.MAX_OPERATOR_RESPONSE_BYTES
    )
    if response.status == _UNAUTHORIZED:
        sys.stderr.write('the service rejected the operator key\n')
        sys.exit(_FAILURE_EXIT_CODE)
    return decode_json(body, response_type)


def make_client(entries: Sequence[str]) -> ServiceClient:
    """
    Make a client from the arguments or, failing those, the environment.

    Parameters
    ----------
    entries : sequence of str
        Addresses from the command line; if empty, those of the environment.

    Returns
    -------
    ServiceClient
        Client with at least one entry.  Exits with a message if no address or
        no key is given.
    """
    addresses = list(entries) or os.environ.get(ENTRIES_VARIABLE, '').split()
    key = os.environ.get(KEY_VARIABLE, '')
    if not addresses:
        sys.stderr.write(
            f'specify an entry with --entry or {ENTRIES_VARIABLE}\n'
        )
        sys.exit(2)
    if not key:
        sys.stderr.write(f'set the operator key in {KEY_VARIABLE}\n')
        sys.exit(2)
    return ServiceClient(entries=addresses, key=key)
