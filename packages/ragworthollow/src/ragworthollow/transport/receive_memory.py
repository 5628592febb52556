"""Bound the memory that the requests of all connections take together."""

from ragworthollow.conf import global_settings
from ragworthollow.conf.memory import compute_memory_share
from ragworthollow.transport.hold_pool import HoldPool


class ReceiveMemory:
    """
    Account for received bytes, and for the heads of requests in progress.

    A request in progress is not affected by the requests of others; a new one
    is refused if there is no room for its head.

    Parameters
    ----------
    memory_mb : float
        Memory of the process in megabytes.

    Attributes
    ----------
    unscanned : HoldPool
        Bytes that belong to no request as yet.
    bodies : HoldPool
        Bodies at addresses that have no budget of their own for them.
    head_limit_bytes, head_bytes : int
        Memory for the heads of requests, and what is reserved of it.
    """

    def __init__(self, *, memory_mb: float) -> None:
        self.unscanned = HoldPool(
            limit_bytes=compute_memory_share(
                memory_mb, global_settings.UNSCANNED_MEMORY_SHARE
            ),
            reason='received_bytes',
        )
        self.bodies = HoldPool(
            limit_bytes=compute_memory_share(
                memory_mb, global_settings.MESSAGE_MEMORY_SHARE
            ),
            reason='request_bodies',
        )
        self.head_limit_bytes = compute_memory_share(
            memory_mb, global_settings.HEAD_MEMORY_SHARE
        )
        self.head_bytes = 0

    def try_reserve_head(self, cost_bytes: int) -> bool:
        """Reserve memory for the head of a request, if there is room."""
        if self.head_bytes + cost_bytes > self.head_limit_bytes:
            return False
        self.head_bytes += cost_bytes
        return True

    def release_head(self, cost_bytes: int) -> None:
        """Give back what was reserved for a head."""
        self.head_bytes -= cost_bytes


def compute_head_cost(size_bytes: int, line_count: int) -> int:
    """
    Return the memory that a head takes, in bytes.

    Parameters
    ----------
    size_bytes : int
        Size of the head as it is sent.
    line_count : int
        Number of its lines; each becomes several objects.
    """
    return size_bytes + line_count * global_settings.HEAD_LINE_BYTES
