"""Process the bytes of many connections in turns."""

import asyncio
from itertools import islice
from typing import Protocol

from ragworthollow.conf import global_settings


class TurnTaker(Protocol):
    """Process a part of the bytes that a connection holds."""

    def take_turn(self) -> None:
        """Process the next part; ask for a further turn if there is more."""


class TurnQueue:
    """
    Let connections process costly bytes one after the other.

    The event loop passes on the bytes of all connections that have received
    some, and then runs everything else once.  Bodies in tiny chunks take
    milliseconds each to decode, so that those of many connections would keep
    it from everything else for seconds.
    """

    def __init__(self) -> None:
        # In the order of their turns.
        self._waiting: dict[TurnTaker, None] = {}
        self._is_scheduled = False

    def add(self, connection: TurnTaker) -> None:
        """Give a connection a turn after those that wait for one."""
        self._waiting[connection] = None
        if not self._is_scheduled:
            self._schedule()

    def _schedule(self) -> None:
        self._is_scheduled = True
        asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        """Give some connections their turn, and go on after other work."""
        self._is_scheduled = False
        turns = tuple(islice(self._waiting, global_settings.TURNS_AT_ONCE))
        for connection in turns:
            self._waiting.pop(connection)
            connection.take_turn()
        if self._waiting and not self._is_scheduled:
            self._schedule()
