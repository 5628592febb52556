"""Define the load that every answer carries."""

from ragworthollow.utils.message import Message


class LoadReport(Message):
    """
    Report the load of a sidecar and its upstream.

    Attributes
    ----------
    running, waiting : int
        Calls handed to the upstream and calls in the queue.
    concurrency : int
        Calls the upstream runs side by side.
    service_ms : float
        Smoothed time one call takes once started.
    leaving : bool
        Whether new work will be refused from now on.
    """

    running: int = 0
    waiting: int = 0
    concurrency: int = 1
    service_ms: float = 0
    leaving: bool = False
