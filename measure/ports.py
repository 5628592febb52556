"""Find free ports."""

import random
import socket

# Below the range from which the kernel takes ports of outgoing connections.
_LOWEST = 12_000
_HIGHEST = 32_000


class Ports:
    """
    Hand out free ports of the loopback address.

    Parameters
    ----------
    rng : Random
        Source of randomness.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._taken: set[int] = set()

    def take(self) -> int:
        """Return a port that nothing is bound to."""
        while True:
            port = self._rng.randint(_LOWEST, _HIGHEST)
            if port not in self._taken and _is_free(port):
                self._taken.add(port)
                return port


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True
