"""Bound the memory that the bodies of requests take together."""

from collections.abc import Iterator
from contextlib import contextmanager

from ragworthollow.conf import global_settings
from ragworthollow.conf.memory import compute_memory_share
from ragworthollow.metrics import Metrics

_GAUGE = 'request_body_bytes'


class BodyReservation:
    """
    Hold what the body of one request takes of the budget.

    Parameters
    ----------
    budget : BodyBudget
        Budget of all bodies.

    Attributes
    ----------
    size_bytes : int
        Bytes that are reserved.
    """

    def __init__(self, *, budget: 'BodyBudget') -> None:
        self._budget = budget
        self.size_bytes = 0

    def try_grow(self, size_bytes: int) -> bool:
        """
        Reserve bytes up to a size in total; return whether there is room.

        Parameters
        ----------
        size_bytes : int
            Size of the body as far as it is known.
        """
        added_bytes = max(0, size_bytes - self.size_bytes)
        if added_bytes and not self._budget.has_room(added_bytes, size_bytes):
            return False
        self._budget.change(added_bytes)
        self.size_bytes += added_bytes
        return True

    def has_room(self, size_bytes: int) -> bool:
        """Return whether a body of a size has room now; reserve nothing."""
        return self._budget.has_room(size_bytes, size_bytes)

    def describe(self) -> str:
        """Return what is reserved by all, for the log."""
        return self._budget.describe()


class BodyBudget:
    """
    Reserve memory for the bodies of requests as they arrive.

    A gateway holds the body of a request until its response, since it may have
    to be sent again.  Upstreams that read slowly make bodies stay; beyond its
    memory the process would be killed, with all requests that it has passed on.

    Large bodies cannot take all of the budget: a few of them would otherwise
    keep out the small ones, which are most.

    Parameters
    ----------
    memory_mb : float
        Memory of the process in megabytes.
    metrics : Metrics
        Metrics that show the reserved bytes.

    Attributes
    ----------
    limit_bytes : int
        Budget of all bodies.
    held_bytes : int
        Bytes that are reserved.
    """

    def __init__(self, *, memory_mb: float, metrics: Metrics) -> None:
        self.limit_bytes = compute_memory_share(
            memory_mb, global_settings.BODY_MEMORY_SHARE
        )
        self.held_bytes = 0
        self._metrics = metrics

    @contextmanager
    def reserve(self) -> Iterator[BodyReservation]:
        """Provide a reservation that is given back in the end."""
        reservation = BodyReservation(budget=self)
        try:
            yield reservation
        finally:
            self.change(-reservation.size_bytes)

    def has_room(self, added_bytes: int, size_bytes: int) -> bool:
        """Return whether a body of a size may take more bytes."""
        limit_bytes: float = self.limit_bytes
        if size_bytes > global_settings.LARGE_BODY_BYTES:
            limit_bytes *= global_settings.LARGE_BODIES_SHARE
        return self.held_bytes + added_bytes <= limit_bytes

    def change(self, size_bytes: int) -> None:
        """Add bytes to what is reserved, or take them off."""
        if size_bytes:
            self.held_bytes += size_bytes
            self._metrics.set_state(_GAUGE, self.held_bytes)

    def describe(self) -> str:
        """Return what is reserved, for the log."""
        return f'{self.held_bytes} of {self.limit_bytes} bytes are taken'
