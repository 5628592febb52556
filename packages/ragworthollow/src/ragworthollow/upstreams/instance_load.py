"""Define the load report of an upstream instance."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceLoad:
    """
    Hold one load report.

    Attributes
    ----------
    running : int
        Requests that the instance was processing.
    waiting : int
        Requests in its queue.
    slots : int
        Requests that it can process concurrently.
    """

    running: int
    waiting: int
    slots: int
