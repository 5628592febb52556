"""Bound the memory that whole responses take together."""

import asyncio
from collections import OrderedDict
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from typing import Protocol

from ragworthollow.conf import global_settings
from ragworthollow.conf.memory import compute_memory_share
from ragworthollow.utils import get_monotonic_ms

_MILLISECONDS = 1000


class AnsweredConnection(Protocol):
    """Hold a response until its client has read it."""

    def evict(self, reason: str) -> None:
        """Close the connection at once."""


class AnswerMemory:
    """
    Account for responses from their first byte until their clients have them.

    A response is passed on once it is complete, so that another upstream can
    be tried.  Where responses exceed their share, an upstream is read no
    further until there is room, and clients that have not read theirs for long
    are disconnected.  The response that has been read for longest waits for
    such clients only: several incomplete ones would otherwise wait for each
    other.

    Parameters
    ----------
    memory_mb : float
        Memory of the process in megabytes.
    """

    def __init__(self, *, memory_mb: float) -> None:
        self.limit_bytes = compute_memory_share(
            memory_mb, global_settings.ANSWER_MEMORY_SHARE
        )
        self.held_bytes = 0
        self._unread_bytes = 0
        self._readings: dict[AnswerReading, None] = {}
        # Size and time of the end of its reading, by connection.
        self._unread: OrderedDict[AnsweredConnection, tuple[int, float]] = (
            OrderedDict()
        )
        self._has_room = asyncio.Event()

    @contextmanager
    def read(self) -> Iterator['AnswerReading']:
        """Account for a response while it is read from its upstream."""
        reading = AnswerReading(memory=self)
        self._readings[reading] = None
        try:
            yield reading
        finally:
            self._readings.pop(reading)
            self.change(-reading.size_bytes)

    def hold(self, connection: AnsweredConnection, size_bytes: int) -> None:
        """Account for a response until the client of a connection has it."""
        self.release(connection)
        if size_bytes:
            self._unread[connection] = (size_bytes, get_monotonic_ms())
            self._unread_bytes += size_bytes
            self.change(size_bytes)

    def release(self, connection: AnsweredConnection) -> None:
        """Give back what a connection holds, if it holds anything."""
        size_bytes, _ = self._unread.pop(connection, (0, 0))
        self._unread_bytes -= size_bytes
        self.change(-size_bytes)

    def change(self, size_bytes: int) -> None:
        """Add bytes to what is held, or take them off."""
        self.held_bytes += size_bytes
        if size_bytes < 0:
            self._has_room.set()

    def may_take(self, reading: 'AnswerReading', size_bytes: int) -> bool:
        """Return whether a response may take more bytes now."""
        is_first = reading is next(iter(self._readings))
        while self.held_bytes + size_bytes > self.limit_bytes:
            if is_first and self._unread_bytes <= self.limit_bytes:
                return True
            if not self._evict_slowest():
                return False
        return True

    async def wait_for_room(self) -> None:
        """Wait until bytes are given back, or clients may be disconnected."""
        self._has_room.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(
                global_settings.ANSWER_ROOM_CHECK_MS / _MILLISECONDS
            ):
                await self._has_room.wait()

    def _evict_slowest(self) -> bool:
        """Disconnect a client that does not read; return whether one was."""
        if not self._unread:
            return False
        connection = next(iter(self._unread))
        _, since_ms = self._unread[connection]
        if get_monotonic_ms() - since_ms < global_settings.ANSWER_READ_MS:
            return False
        self.release(connection)
        connection.evict('unread_responses')
        return True


class AnswerReading:
    """
    Reserve memory for one response as it arrives.

    Parameters
    ----------
    memory : AnswerMemory
        Memory of all responses.

    Attributes
    ----------
    size_bytes : int
        Bytes that are reserved.
    """

    def __init__(self, *, memory: AnswerMemory) -> None:
        self._memory = memory
        self.size_bytes = 0

    async def add(self, size_bytes: int) -> None:
        """Reserve more bytes, waiting until there is room."""
        while not self._memory.may_take(self, size_bytes):
            await self._memory.wait_for_room()
        self.size_bytes += size_bytes
        self._memory.change(size_bytes)
