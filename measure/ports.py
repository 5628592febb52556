"""Reserve ports for the processes of a fleet."""

import random
import socket

# Below the range from which the kernel takes ports of outgoing connections.
_LOWEST = 12_000
_HIGHEST = 32_000
_HOST = '127.0.0.1'


class Ports:
    """
    Reserve ports of the loopback address until released.

    A port stays reserved while the process that listens on it is down.
    Otherwise another fleet could take it in the meantime, and the process could
    not start again.

    Parameters
    ----------
    rng : Random
        Source of randomness.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._reserved: list[socket.socket] = []

    def take(self) -> int:
        """Reserve a port on which nothing listens, and return it."""
        while True:
            port = self._rng.randint(_LOWEST, _HIGHEST)
            reserved = _reserve(port)
            if reserved is not None:
                self._reserved.append(reserved)
                return port

    def release(self) -> None:
        """Allow other fleets to take the ports."""
        for reserved in self._reserved:
            reserved.close()
        self._reserved.clear()


def _reserve(port: int) -> socket.socket | None:
    """Bind a socket that never listens; return None if the port is taken."""
    reserved = socket.socket()
    try:
        reserved.bind((_HOST, port))
    except OSError:
        reserved.close()
        return None
    # Only after binding: two fleets could otherwise bind the same port. From
    # now on a process of this fleet can bind it as well, and listen.
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return reserved
