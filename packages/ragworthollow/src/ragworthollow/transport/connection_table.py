"""Bound the number of connections that a listener keeps open."""

import enum
from collections import OrderedDict
from typing import Protocol


class ConnectionPhase(enum.Enum):
    """
    Enumerate what a connection is doing.

    All but the last wait for the client; they are listed in the order in which
    they are closed in favour of new connections.
    """

    idle = enum.auto()
    head = enum.auto()
    body = enum.auto()
    unread = enum.auto()
    busy = enum.auto()


class EvictableConnection(Protocol):
    """Be closed in favour of another connection."""

    def evict(self, reason: str) -> None:
        """Close the connection at once."""


class ConnectionTable:
    """
    Close connections that wait for their client in favour of new ones.

    Clients that connect and send little or nothing could otherwise keep all
    descriptors of a process.  A new connection is closed itself only if all
    others have a request in progress.

    Parameters
    ----------
    limit : int
        Maximum number of open connections.
    """

    def __init__(self, *, limit: int) -> None:
        self.limit = limit
        self._phases: dict[EvictableConnection, ConnectionPhase] = {}
        # Those of each phase, the longest in it first.
        self._members: dict[
            ConnectionPhase, OrderedDict[EvictableConnection, None]
        ] = {phase: OrderedDict() for phase in ConnectionPhase}

    def __len__(self) -> int:
        return len(self._phases)

    def add(self, connection: EvictableConnection) -> None:
        """Add a new connection, and close one if there are too many."""
        if len(self._phases) >= self.limit:
            victim = self._find_victim()
            if victim is None:
                connection.evict('connections_in_use')
                return
            self.remove(victim)
            victim.evict('too_many_connections')
        self.move(connection, ConnectionPhase.idle)

    def move(
        self, connection: EvictableConnection, phase: ConnectionPhase
    ) -> None:
        """Record the phase that a connection has entered."""
        previous = self._phases.get(connection)
        if previous is phase:
            return
        if previous is not None:
            self._members[previous].pop(connection)
        self._phases[connection] = phase
        self._members[phase][connection] = None

    def remove(self, connection: EvictableConnection) -> None:
        """Forget a connection, which may be unknown."""
        phase = self._phases.pop(connection, None)
        if phase is not None:
            self._members[phase].pop(connection)

    def _find_victim(self) -> EvictableConnection | None:
        for phase, members in self._members.items():
            if phase is not ConnectionPhase.busy and members:
                return next(iter(members))
        return None
