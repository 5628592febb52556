"""Exchange messages with the platform's store."""

from http import HTTPStatus

import aiohttp
from result import Err, Ok, Result
from yarl import URL

from ragworthollow.logs.events import log_event
from ragworthollow.platform.exceptions import PlatformError
from ragworthollow.platform.store_answer import StoreAnswer
from ragworthollow.transport.timeouts import make_silence_timeout
from ragworthollow.utils import get_monotonic_ms

UNLIMITED_BYTES = float('inf')
_HEADERS = {'Content-Type': 'application/json'}
_TIMELINE = 'Store-Era'
_STEP = 'store'


class StoreTransport:
    """
    Call the store with a timeout of our own on every call.

    A connection to the store may fall silent for good without a reset; a
    call that hears nothing for the timeout closes its connection, so that
    the next call opens a new one.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session to call with.
    base_url : str
        Address of the store.
    timeout_ms : float
        Longest time without a byte.

    Attributes
    ----------
    calls : int
        Calls made.
    timeline : int
        How often the store has been restored from a copy, as any of its
        answers has told, refusals included.
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
        self.timeline = 0

    async def call(
        self,
        method: str,
        path: str,
        *,
        query: dict[str, str] | None = None,
        body: bytes | None = None,
        absent_status: HTTPStatus | None = None,
        extra_ms: float = 0,
        longest_bytes: float = UNLIMITED_BYTES,
    ) -> Result[StoreAnswer, PlatformError]:
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
        longest_bytes : float
            Size from which an answer is not worth reading; what is left of
            it is dropped together with the connection.

        Returns
        -------
        Result
            The answer, without a body for `absent_status` or where it is too
            long; or the failure.
        """
        self.calls += 1
        received = _Received()
        try:
            async with self._session.request(
                method,
                (self._base / path.removeprefix('/')).with_query(query),
                data=body,
                headers=_HEADERS if body else None,
                timeout=make_silence_timeout(self._timeout_ms, extra_ms),
            ) as response:
                timeline = self._note_timeline(response)
                is_whole = await received.read(response, longest_bytes)
                status = response.status
        except aiohttp.ClientConnectorError as error:
            return Err(self._explain(path, repr(error), applied=False))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            detail = f'{error!r}, {received.describe()}'
            return Err(self._explain(path, detail, applied=True))
        if timeline < self.timeline:
            # What it tells was lost when the store was restored.
            detail = f'answer from before restoration {self.timeline}'
            return Err(self._explain(path, detail, applied=True))
        if status == absent_status or not is_whole:
            return Ok(StoreAnswer(body=None, timeline=timeline))
        if status == HTTPStatus.OK:
            return Ok(StoreAnswer(body=received.join(), timeline=timeline))
        # Every other status says that the store did nothing.
        detail = f'status {status}'
        return Err(self._explain(path, detail, applied=False))

    def _note_timeline(self, response: aiohttp.ClientResponse) -> int:
        """Return the timeline of an answer; the one known where it has none."""
        text = response.headers.get(_TIMELINE, '').strip()
        if not (text.isascii() and text.isdecimal()):
            return self.timeline
        timeline = int(text)
        if timeline > self.timeline:
            log_event(
                'store_timeline',
                step=_STEP,
                peer=str(self._base),
                timeline=timeline,
                earlier=self.timeline,
                status=response.status,
            )
            self.timeline = timeline
        return timeline

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
        self._size = 0

    async def read(
        self,
        response: aiohttp.ClientResponse,
        longest_bytes: float,
    ) -> bool:
        """Read an answer, and tell whether it was short enough for that."""
        if (response.content_length or 0) > longest_bytes:
            return False
        async for chunk in response.content.iter_any():
            self._last_ms = get_monotonic_ms()
            self._chunks.append(chunk)
            self._size += len(chunk)
            if self._size > longest_bytes:
                return False
        return True

    def join(self) -> bytes:
        return b''.join(self._chunks)

    def describe(self) -> str:
        """
        Tell an answer that was still coming from a connection that is silent.

        Both end in a timeout; only the second is helped by a new connection.
        """
        now_ms = get_monotonic_ms()
        return (
            f'{self._size} bytes in {now_ms - self._began_ms:.0f} ms, '
            f'silent for {now_ms - self._last_ms:.0f} ms'
        )
