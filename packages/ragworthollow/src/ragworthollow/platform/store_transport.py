"""Exchange messages with the platform's store."""

from http import HTTPStatus

import aiohttp
from result import Err, Ok, Result
from yarl import URL

from ragworthollow.platform.exceptions import PlatformError
from ragworthollow.utils import get_monotonic_ms

_MILLISECONDS = 1000
_HEADERS = {'Content-Type': 'application/json'}


class StoreTransport:
    """
    Call the store with a timeout of our own on every call.

    A connection to the store may fall silent for good without a reset; a
    call that runs into its timeout closes its connection, so that the next
    call opens a new one.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session to call with.
    base_url : str
        Address of the store.
    timeout_ms : float
        Longest time for one call.
    """

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        base_url: str,
        timeout_ms: float,
    ) -> None:
        self._session = session
        self._base = URL(base_url)
        self._timeout_ms = timeout_ms
        self.calls = 0

    async def call(
        self,
        method: str,
        path: str,
        *,
        query: dict[str, str] | None = None,
        body: bytes | None = None,
        absent_status: HTTPStatus | None = None,
        extra_ms: float = 0,
    ) -> Result[bytes | None, PlatformError]:
        """
        Make one call.

        Parameters
        ----------
        method, path : str
            What is called.
        query : dict of str to str, optional
            Sent behind the path.
        body : bytes, optional
            JSON to send.
        absent_status : HTTPStatus, optional
            Status that says that there is nothing to return.
        extra_ms : float
            How long the store may wait before it answers.

        Returns
        -------
        Result
            The body of the answer, None for `absent_status`; or the failure.
        """
        self.calls += 1
        timeout_ms = self._timeout_ms + extra_ms
        received = _Received()
        try:
            async with self._session.request(
                method,
                (self._base / path.removeprefix('/')).with_query(query),
                data=body,
                headers=_HEADERS if body else None,
                timeout=aiohttp.ClientTimeout(total=timeout_ms / _MILLISECONDS),
            ) as response:
                async for chunk in response.content.iter_any():
                    received.add(chunk)
                status = response.status
        except aiohttp.ClientConnectorError as error:
            return Err(self._explain(path, repr(error), applied=False))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            detail = f'{error!r}, {received.describe()}'
            return Err(self._explain(path, detail, applied=True))
        if status == HTTPStatus.OK:
            return Ok(received.join())
        if status == absent_status:
            return Ok(None)
        # Every other status says that the store did nothing.
        detail = f'status {status}'
        return Err(self._explain(path, detail, applied=False))

    def _explain(
        self,
        path: str,
        detail: str,
        *,
        applied: bool,
    ) -> PlatformError:
        return PlatformError(
            step=path,
            peer=str(self._base),
            detail=detail,
            may_have_applied=applied,
        )


class _Received:
    """Collect an answer, and know when its last bytes came."""

    def __init__(self) -> None:
        self._began_ms = get_monotonic_ms()
        self._last_ms = self._began_ms
        self._chunks: list[bytes] = []

    def add(self, chunk: bytes) -> None:
        self._last_ms = get_monotonic_ms()
        self._chunks.append(chunk)

    def join(self) -> bytes:
        return b''.join(self._chunks)

    def describe(self) -> str:
        """
        Tell an answer that was still coming from a connection that is silent.

        Both end in a timeout; only the second is helped by a new connection.
        """
        now_ms = get_monotonic_ms()
        size = sum(map(len, self._chunks))
        return (
            f'{size} bytes in {now_ms - self._began_ms:.0f} ms, '
            f'silent for {now_ms - self._last_ms:.0f} ms'
        )
