"""Define the load report of an upstream instance."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceLoad:
    """
    Hold one load report; None stands for a figure that was not reported.

    Attributes
    ----------
    running : int or None
        Requests that the instance was processing.
    waiting : int or None
        Requests in its queue.
    slots : int or None
        Requests that it can process concurrently.
    work_time_ratio : float or None
        Time that work took on the instance at that moment, relative to its
        usual time; above 1 if other programs slowed it down.
    """

    running: int | None = None
    waiting: int | None = None
    slots: int | None = None
    work_time_ratio: float | None = None

    def count_requests(self) -> int | None:
        """Return the requests that were reported; None if none were."""
        if self.running is None and self.waiting is None:
            return None
        return (self.running or 0) + (self.waiting or 0)
