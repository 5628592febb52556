"""Read the body of a request within its limits."""

from aiohttp import web
from result import Err, Ok, Result

from ragworthollow.outcomes import Reason
from ragworthollow_daemon.gateway.body_budget import BodyReservation


class BodyReader:
    """
    Read one body, reserving memory for it as it arrives.

    A body for which there is no room is refused before it is read.  What has
    been announced is not reserved: a caller that announces a large body and
    sends nothing would keep out those of others.

    Parameters
    ----------
    request : BaseRequest
        Request whose body has not been read yet.
    limit_bytes : int
        Maximum size of the body.
    reservation : BodyReservation
        Takes the memory of the body.
    """

    def __init__(
        self,
        *,
        request: web.BaseRequest,
        limit_bytes: int,
        reservation: BodyReservation,
    ) -> None:
        self._request = request
        self._limit_bytes = limit_bytes
        self._reservation = reservation

    def has_arrived(self) -> bool:
        """Return whether the full body has been received already."""
        return self._request.content.is_eof()

    def describe(self) -> str:
        """Return the size of the body and what other bodies take."""
        length = self._request.content_length
        size = 'unknown length' if length is None else f'{length} bytes'
        return f'{size}, {self._reservation.describe()}'

    async def read(self) -> Result[bytes, Reason]:
        """Return the full body, or the limit that it exceeds."""
        if not self._request.body_exists:
            return Ok(b'')
        announced_bytes = self._request.content_length or 0
        if announced_bytes > self._limit_bytes:
            return Err(Reason.body_too_large)
        if not self._reservation.has_room(announced_bytes):
            return Err(Reason.memory_full)
        chunks: list[bytes] = []
        size = 0
        async for chunk in self._request.content.iter_any():
            size += len(chunk)
            if size > self._limit_bytes:
                return Err(Reason.body_too_large)
            if not self._reservation.try_grow(size):
                return Err(Reason.memory_full)
            chunks.append(chunk)
        return Ok(b''.join(chunks))
