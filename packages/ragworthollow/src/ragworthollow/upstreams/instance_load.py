"""Define what an upstream instance said of its load."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceLoad:
    """
    Hold one report.

    Attributes
    ----------
    running : int
        Requests it worked on.
    waiting : int
        Requests in its queue.
    slots : int
        Requests it can work on at a time.
    """

    running: int
    waiting: int
    slots: int
