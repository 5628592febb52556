"""Define the load report that every answer includes."""

from ragworthollow.utils.message import Message


class LoadReport(Message):
    """
    Report the load of a sidecar and its upstream.

    Attributes
    ----------
    running, waiting : int
        Number of calls sent to the upstream and of calls in the queue.
    concurrency : int
        Number of calls that the upstream runs concurrently.
    service_ms : float
        Smoothed duration of a call in milliseconds, without queueing.
    leaving : bool
        Whether new work will be refused from now on.
    """

    running: int = 0
    waiting: int = 0
    concurrency: int = 1
    service_ms: float = 0
    leaving: bool = False
