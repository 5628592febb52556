"""Call the metrics address of a gateway."""

import sys

import aiohttp
import msgspec

_TIMEOUT_S = 5
_FAILURE = 1
_FAILURES = (aiohttp.ClientError, TimeoutError, msgspec.DecodeError)


async def ask_gateway(
    address: str,
    path: str,
    answer_type: type,
    message: object = None,
):
    """
    Ask a gateway; a message is posted.

    Parameters
    ----------
    address : str
        Metrics address of the gateway, `IP:PORT`.
    path : str
        What is asked for.
    answer_type : type
        Of the answer.
    message : object
        What is sent; None to read only.

    Returns
    -------
    object
        The answer.  Exits with a message when there is none.
    """
    url = f'http://{address}{path}'
    body = None if message is None else msgspec.json.encode(message)
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            found = await _exchange(session, url, body)
        return msgspec.json.decode(found, type=answer_type)
    except _FAILURES as error:
        sys.stderr.write(f'{url}: {error!r}\n')
        sys.exit(_FAILURE)


async def _exchange(
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
        return await response.read()
