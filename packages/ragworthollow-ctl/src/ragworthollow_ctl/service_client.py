"""Call the operators' interface of the entries."""

import asyncio
import os
import sys
from collections.abc import Sequence
from contextlib import AbstractAsyncContextManager

import aiohttp
import msgspec

KEY_VARIABLE = 'RAGWORTHOLLOW_OPERATOR_KEY'
ENTRIES_VARIABLE = 'RAGWORTHOLLOW_ENTRIES'

_HEADER = 'X-Ragworthollow-Operator-Key'
_TIMEOUT_S = 20
_ROUNDS = 3
_PAUSE_S = 0.5
_UNAUTHORIZED = 401
_FAILURE = 1
_FAILURES = (aiohttp.ClientError, TimeoutError, msgspec.DecodeError)


class ServiceClient:
    """
    Ask one entry after the other until one answers.

    Asking again is safe: reads change nothing, and a change carries its id.

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

    async def get(self, path: str, answer_type: type):
        """Read from the service."""
        return await self._ask('GET', path, None, answer_type)

    async def post(self, path: str, message: object, answer_type: type):
        """Send a message to the service."""
        body = msgspec.json.encode(message)
        return await self._ask('POST', path, body, answer_type)

    async def _ask(
        self,
        method: str,
        path: str,
        body: bytes | None,
        answer_type: type,
    ):
        failures: list[str] = []
        async with aiohttp.ClientSession(
            headers={_HEADER: self._key},
            timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
        ) as session:
            for entry in list(self._entries) * _ROUNDS:
                url = f'{entry.rstrip("/")}/v1/operator/{path}'
                call = session.request(method, url, data=body)
                try:
                    return await _exchange(call, answer_type)
                except _FAILURES as error:
                    failures.append(f'{url}: {type(error).__name__}\n')
                await asyncio.sleep(_PAUSE_S)
        sys.stderr.write('no entry answered:\n')
        sys.stderr.writelines(failures)
        sys.exit(_FAILURE)


async def _exchange(
    call: AbstractAsyncContextManager[aiohttp.ClientResponse],
    answer_type: type,
):
    async with call as response:
        return await _decode(response, answer_type)


async def _decode(response: aiohttp.ClientResponse, answer_type: type):
    body = await response.read()
    if response.status == _UNAUTHORIZED:
        sys.stderr.write('the service does not know this operator key\n')
        sys.exit(_FAILURE)
    return msgspec.json.decode(body, type=answer_type)


def make_client(entries: Sequence[str]) -> ServiceClient:
    """
    Make a client out of arguments and the environment.

    Parameters
    ----------
    entries : sequence of str
        From the command line; empty to take the environment's.

    Returns
    -------
    ServiceClient
        Exits with a message when an address or the key is missing.
    """
    known = list(entries) or os.environ.get(ENTRIES_VARIABLE, '').split()
    key = os.environ.get(KEY_VARIABLE, '')
    if not known:
        sys.stderr.write(f'name an entry with --entry or {ENTRIES_VARIABLE}\n')
        sys.exit(2)
    if not key:
        sys.stderr.write(f'put the operator key into {KEY_VARIABLE}\n')
        sys.exit(2)
    return ServiceClient(entries=known, key=key)
