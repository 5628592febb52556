"""Exchange messages with the platform's store."""

import asyncio
from http import HTTPStatus

import aiohttp
import msgspec
from result import Err, Ok, Result
from yarl import URL

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.platform.exceptions import PlatformError
from ragworthollow.platform.store_response import StoreResponse
from ragworthollow.transport.bounded_reading import exceeds_wire_limit
from ragworthollow.transport.timeouts import make_inactivity_timeout
from ragworthollow.utils import (
    decode_json,
    get_monotonic_ms,
    parse_count,
)

UNLIMITED_BYTES = float('inf')
_HEADERS = {'Content-Type': 'application/json'}
_TIMELINE = 'Store-Era'
_STEP = 'store'


class StoreTransport:
    """
    Call the store, with a client-side timeout on every call.

    A connection to the store may stop delivering data permanently without a
    reset; a call that receives nothing within the timeout closes its
    connection, so that the next call opens a new connection.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP session for the calls.
    base_url : str
        Base URL of the store.
    timeout_ms : float
        Maximum time without receiving a byte, in milliseconds.

    Attributes
    ----------
    calls : int
        Number of calls made.
    timeline : int
        Highest restore count of the store that any of its responses has
        reported, error responses included.
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
        response_type: type | None = None,
        absent_status: HTTPStatus | None = None,
        extra_ms: float = 0,
        max_bytes: float = UNLIMITED_BYTES,
    ) -> Result[StoreResponse, PlatformError]:
        """
        Make one call.

        Parameters
        ----------
        method, path : str
            HTTP method and path of the request.
        query : dict of str to str, optional
            Query parameters of the request.
        body : bytes, optional
            JSON body of the request.
        response_type : type, optional
            Type to decode the body of a response as.
        absent_status : HTTPStatus, optional
            Status with which the store reports that there is nothing to return.
        extra_ms : float
            Milliseconds for which the store may wait before it responds.
        max_bytes : float
            Maximum size of a response, `MAX_STORE_RESPONSE_BYTES` by default;
            the rest of a larger response is discarded together with the
            connection.

        Returns
        -------
        Result
            The response, without a body for `absent_status` or if it is
            larger than asked for; or the failure.
        """
        self.calls += 1
        received_body = _ResponseBody()
        try:
            async with self._session.request(
                method,
                (self._base / path.removeprefix('/')).with_query(query),
                data=body,
                headers=_HEADERS if body else None,
                timeout=make_inactivity_timeout(self._timeout_ms, extra_ms),
            ) as response:
                timeline = self._record_timeline(response)
                is_complete = await received_body.read(
                    response,
                    min(max_bytes, global_settings.MAX_STORE_RESPONSE_BYTES),
                )
                status = response.status
        except aiohttp.ClientConnectorError as error:
            return Err(self._explain(path, repr(error), applied=False))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            detail = f'{error!r}, {received_body.describe()}'
            return Err(self._explain(path, detail, applied=True))
        if timeline < self.timeline:
            # The state that it reports was lost when the store was restored.
            detail = f'response predates restoration {self.timeline}'
            return Err(self._explain(path, detail, applied=True))
        is_too_long = not is_complete and max_bytes == UNLIMITED_BYTES
        if status == absent_status or not (is_complete or is_too_long):
            return Ok(StoreResponse(body=None, timeline=timeline))
        if status == HTTPStatus.OK and is_complete:
            return self._decode(
                path, received_body.join(), timeline, response_type
            )
        # Every other status means that the store has not applied the request.
        is_refused = status != HTTPStatus.OK
        detail = f'status {status}, {received_body.describe()}'
        return Err(self._explain(path, detail, applied=not is_refused))

    def _decode(
        self,
        path: str,
        body: bytes,
        timeline: int,
        response_type: type | None,
    ) -> Result[StoreResponse, PlatformError]:
        """Decode a body; one without a length may have been cut unnoticed."""
        message = None
        if response_type is not None:
            try:
                message = decode_json(body, response_type)
            except msgspec.DecodeError as error:
                detail = f'{error}, after {len(body)} bytes'
                return Err(self._explain(path, detail, applied=True))
        return Ok(StoreResponse(body=body, timeline=timeline, message=message))

    def _record_timeline(self, response: aiohttp.ClientResponse) -> int:
        """Return the timeline of a response, by default the known timeline."""
        timeline = parse_count(response.headers.get(_TIMELINE, ''))
        if timeline is None:
            return self.timeline
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


class _ResponseBody:
    """Collect a response body and the time at which its last bytes came."""

    def __init__(self) -> None:
        self._started_ms = get_monotonic_ms()
        self._last_received_ms = self._started_ms
        self._chunks: list[bytes] = []
        self._size = 0

    async def read(
        self,
        response: aiohttp.ClientResponse,
        max_bytes: float,
    ) -> bool:
        """Read a body; return whether it is within the maximum size."""
        if (response.content_length or 0) > max_bytes:
            return False
        async for chunk in response.content.iter_any():
            if self._chunks:
                # Lets other work run, as in `read_bounded`.
                await asyncio.sleep(0)
            self._last_received_ms = get_monotonic_ms()
            self._chunks.append(chunk)
            self._size += len(chunk)
            if self._size > max_bytes or exceeds_wire_limit(
                response, max_bytes
            ):
                return False
        return True

    def join(self) -> bytes:
        return b''.join(self._chunks)

    def describe(self) -> str:
        """
        Return how much has arrived, and the time since the last bytes.

        A large response that was still arriving and a dead connection both end
        in a timeout; only the latter is helped by a new connection.
        """
        now_ms = get_monotonic_ms()
        return (
            f'{self._size} bytes in {now_ms - self._started_ms:.0f} ms, '
            f'no data for {now_ms - self._last_received_ms:.0f} ms'
        )
