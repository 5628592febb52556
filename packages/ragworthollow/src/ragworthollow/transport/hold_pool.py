"""Bound the bytes that connections hold together."""

from collections import OrderedDict
from typing import Protocol


class HoldingConnection(Protocol):
    """Hold bytes until it is closed."""

    def evict(self, reason: str) -> None:
        """Close the connection at once."""


class HoldPool:
    """
    Close the connections that have held bytes for longest beyond a limit.

    Each connection is bounded by itself, but not their sum.  Those of proper
    clients hold bytes for moments only.

    Parameters
    ----------
    limit_bytes : int
        Maximum of what all hold together.
    reason : str
        Why connections are closed beyond it, for the log.

    Attributes
    ----------
    held_bytes : int
        What all hold together.
    """

    def __init__(self, *, limit_bytes: int, reason: str) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._reason = reason
        # The longest holding first.
        self._waiting: OrderedDict[HoldingConnection, int] = OrderedDict()
        self._settled: dict[HoldingConnection, int] = {}

    def hold(self, connection: HoldingConnection, size_bytes: int) -> None:
        """
        Record how many bytes a connection holds that waits for its client.

        Parameters
        ----------
        connection : HoldingConnection
            Connection that holds them; it may be closed.
        size_bytes : int
            All bytes that it holds now.
        """
        previous_bytes = self._waiting.get(connection, 0)
        if connection in self._settled:
            previous_bytes = self._settled.pop(connection)
        if size_bytes:
            self._waiting[connection] = size_bytes
        else:
            self._waiting.pop(connection, None)
        if 0 < size_bytes < previous_bytes:
            # Some of them have been processed.
            self._waiting.move_to_end(connection)
        self.held_bytes += size_bytes - previous_bytes
        while self.held_bytes > self.limit_bytes and self._waiting:
            victim = next(iter(self._waiting))
            self.hold(victim, 0)
            victim.evict(self._reason)

    def settle(self, connection: HoldingConnection) -> None:
        """Keep what a connection holds, but no longer close it for that."""
        size_bytes = self._waiting.pop(connection, 0)
        if size_bytes:
            self._settled[connection] = size_bytes
