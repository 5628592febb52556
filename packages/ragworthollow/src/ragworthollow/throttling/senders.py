"""Choose which gateways may send to an instance with rate limits."""

import heapq
import math
from collections.abc import Collection

from ragworthollow.utils.hashing import get_rank


class Senders:
    """
    Choose the gateways that rank highest for an instance.

    Each gateway chooses for itself, from the members that it knows.  When many
    gateways register at the same time, as after the loss of all of them or
    when their leases expired during an outage, the first gateways know of
    hardly any others.  A gateway may therefore send only while it is a member
    itself, and only after a time in which all gateways learn of it.

    Parameters
    ----------
    gateway : str
        Name of this gateway.
    propagation_ms : float
        Time in which all gateways learn of a gateway that has registered.
    """

    def __init__(self, *, gateway: str, propagation_ms: float) -> None:
        self._gateway = gateway
        self._propagation_ms = propagation_ms
        self._members: frozenset[str] = frozenset()
        self._propagated_ms = math.inf
        # Cache: whether this gateway may send, by incarnation and number of
        # senders.
        self._chosen: dict[tuple[str, int], bool] = {}

    def set_members(self, members: Collection[str], now_ms: float) -> None:
        """
        Set the gateways that are members now.

        Parameters
        ----------
        members : collection of str
            Their names, including this gateway if it is listed.
        now_ms : float
            Time on the monotonic clock.
        """
        if self._gateway not in members:
            self._propagated_ms = math.inf
        elif math.isinf(self._propagated_ms):
            self._propagated_ms = now_ms + self._propagation_ms
        current = frozenset(members)
        if current != self._members:
            self._members = current
            self._chosen.clear()

    def count(self) -> int:
        """Return the number of gateways, including this gateway."""
        return len(self._members | {self._gateway})

    def is_chosen(self, incarnation: str, senders: int, now_ms: float) -> bool:
        """
        Return whether this gateway may send to an instance.

        Parameters
        ----------
        incarnation : str
            Incarnation of the instance.
        senders : int
            Number of gateways that may send to it.
        now_ms : float
            Time on the monotonic clock.
        """
        if now_ms < self._propagated_ms:
            return False
        key = (incarnation, senders)
        if key not in self._chosen:
            self._chosen[key] = self._is_among_highest(incarnation, senders)
        return self._chosen[key]

    def is_ranked_first(self, key: str) -> bool:
        """
        Return whether this gateway is the one to act for all on a key.

        While gateways know different members, several of them may be.
        """
        return self._is_among_highest(key, 1)

    def is_ranked_first_once_listed(self, key: str) -> bool:
        """Return the same, as if this gateway was already a member."""
        names = self._members | {self._gateway}
        return self._gateway == max(names, key=lambda name: get_rank(key, name))

    def is_among_first(self, key: str, count: int) -> bool:
        """Return whether this gateway is one of the first to act on a key."""
        names = self._members | {self._gateway}
        first = heapq.nlargest(
            count, names, key=lambda name: get_rank(key, name)
        )
        return self._gateway in first

    def _is_among_highest(self, incarnation: str, senders: int) -> bool:
        highest = heapq.nlargest(
            senders,
            self._members,
            key=lambda name: get_rank(incarnation, name),
        )
        return self._gateway in highest
