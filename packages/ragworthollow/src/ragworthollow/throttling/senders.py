"""Choose which gateways may send to an instance that warms up."""

import heapq
import math
from collections.abc import Collection

from ragworthollow.utils.hashing import get_rank


class Senders:
    """
    Choose the gateways that rank highest for an instance.

    Each gateway chooses for itself, from the members that it knows.  When many
    register at the same time, as after the loss of all or when their leases
    ran out in an outage, the first of them know of hardly any others.  So a
    gateway may send only while it is a member itself, and only after a time in
    which all have heard of it.

    Parameters
    ----------
    gateway : str
        Name of this gateway.
    settle_ms : float
        Time in which all gateways hear of one that has registered.
    """

    def __init__(self, *, gateway: str, settle_ms: float) -> None:
        self._gateway = gateway
        self._settle_ms = settle_ms
        self._members: frozenset[str] = frozenset()
        self._settled_ms = math.inf
        # Whether this gateway is chosen, by incarnation and number of senders.
        self._chosen: dict[tuple[str, int], bool] = {}

    def set_members(self, members: Collection[str], now_ms: float) -> None:
        """
        Take the gateways that are members now.

        Parameters
        ----------
        members : collection of str
            Their names, with that of this gateway if it is listed.
        now_ms : float
            Time on the monotonic clock.
        """
        if self._gateway not in members:
            self._settled_ms = math.inf
        elif math.isinf(self._settled_ms):
            self._settled_ms = now_ms + self._settle_ms
        current = frozenset(members)
        if current != self._members:
            self._members = current
            self._chosen.clear()

    def count(self) -> int:
        """Return the number of gateways, this one included."""
        return len(self._members | {self._gateway})

    def is_chosen(self, incarnation: str, senders: int, now_ms: float) -> bool:
        """
        Tell whether this gateway may send to an instance.

        Parameters
        ----------
        incarnation : str
            Start of the instance.
        senders : int
            How many gateways may.
        now_ms : float
            Time on the monotonic clock.
        """
        if now_ms < self._settled_ms:
            return False
        key = (incarnation, senders)
        if key not in self._chosen:
            self._chosen[key] = self._rank(incarnation, senders)
        return self._chosen[key]

    def _rank(self, incarnation: str, senders: int) -> bool:
        highest = heapq.nlargest(
            senders,
            self._members,
            key=lambda name: get_rank(incarnation, name),
        )
        return self._gateway in highest
