"""Share the limits of its connections among the listeners of a process."""

from ragworthollow.conf import global_settings
from ragworthollow.conf.descriptors import find_descriptor_limit
from ragworthollow.metrics import Metrics
from ragworthollow.transport.answer_memory import AnswerMemory
from ragworthollow.transport.connection_table import ConnectionTable
from ragworthollow.transport.receive_memory import ReceiveMemory
from ragworthollow.transport.rejection_log import RejectionLog
from ragworthollow.transport.turn_queue import TurnQueue


class ConnectionGuard:
    """
    Hold what bounds the connections of all listeners together.

    Parameters
    ----------
    memory_mb : float
        Memory of the process in megabytes.
    max_descriptors : int
        File descriptors that the process may open; 0 if only the limit of
        the kernel applies.
    metrics : Metrics
        Counts refused clients.
    """

    def __init__(
        self, *, memory_mb: float, max_descriptors: int, metrics: Metrics
    ) -> None:
        self.memory = ReceiveMemory(memory_mb=memory_mb)
        self.answers = AnswerMemory(memory_mb=memory_mb)
        self.turns = TurnQueue()
        self.log = RejectionLog(metrics=metrics)
        limit = find_descriptor_limit(max_descriptors)
        reserved = min(
            global_settings.FILE_DESCRIPTORS,
            limit * global_settings.FILE_DESCRIPTORS_MAX_SHARE,
        )
        self._sockets = limit - reserved

    def make_table(self, share: float) -> ConnectionTable:
        """
        Make the table of a listener.

        Parameters
        ----------
        share : float
            Fraction of the sockets of the process that its connections may
            take; connections to others take what all listeners leave.
        """
        return ConnectionTable(
            limit=max(
                global_settings.MIN_LISTENER_CONNECTIONS,
                int(self._sockets * share),
            )
        )
