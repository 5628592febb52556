"""Track the load and health of each instance."""

from dataclasses import dataclass, field

from ragworthollow.conf import global_settings
from ragworthollow.upstreams.instance_load import InstanceLoad


@dataclass(kw_only=True, slots=True)
class InstanceRecord:
    """
    Hold the load and health of one instance as seen by this process.

    Attributes
    ----------
    in_flight : int
        Unanswered requests that this process has sent to the instance.
    unread_tokens : int
        Prompt tokens of those requests that have no event yet.
    reported_requests : int
        Requests at the instance according to its latest load report.
    reported_ms : float
        Time at which that report arrived, on the monotonic clock.
    in_flight_at_report : int
        Value of `in_flight` when the report arrived.
    suspect_until_ms : float
        Time until which the instance is used only as a last resort, on the
        monotonic clock.
    failures : int
        Number of consecutive failures.
    work_time_ratio : float
        Latest reported time that work takes there, relative to the usual one.
    work_time_reported_ms : float
        Time at which that ratio arrived, on the monotonic clock.
    returns_identifiers : bool
        Whether a response to a call for pieces has named its call.
    """

    in_flight: int = 0
    unread_tokens: int = 0
    reported_requests: int = 0
    reported_ms: float = field(default=float('-inf'))
    in_flight_at_report: int = 0
    suspect_until_ms: float = field(default=float('-inf'))
    failures: int = 0
    work_time_ratio: float = 1
    work_time_reported_ms: float = field(default=float('-inf'))
    returns_identifiers: bool = False

    def get_other_requests(self, now_ms: float) -> int:
        """Return the requests of other processes, by the latest report."""
        if now_ms - self.reported_ms > global_settings.LOAD_STALE_MS:
            return 0
        return max(0, self.reported_requests - self.in_flight_at_report)

    def get_work_time_ratio(self, now_ms: float) -> float | None:
        """Return the reported work time; None if it is too old."""
        age_ms = now_ms - self.work_time_reported_ms
        if age_ms > global_settings.WORK_TIME_STALE_MS:
            return None
        return self.work_time_ratio


class LoadTracker:
    """Hold the load and health record of each instance."""

    def __init__(self) -> None:
        self._records: dict[str, InstanceRecord] = {}

    def get(self, instance: str) -> InstanceRecord:
        """Return the record of an instance, creating it if necessary."""
        record = self._records.get(instance)
        if record is None:
            record = InstanceRecord()
            self._records[instance] = record
        return record

    def forget(self, instance: str) -> None:
        """Remove the record of a terminated instance, unless it is in use."""
        record = self._records.get(instance)
        if record is not None and not record.in_flight:
            self._records.pop(instance)

    def forget_incarnation(self, instance: str) -> None:
        """
        Discard the record of an instance that has restarted.

        Requests sent to the earlier incarnation keep a reference to the old
        record, so their completion does not affect the new one.
        """
        self._records.pop(instance, None)

    def record_load(
        self,
        instance: str,
        load: InstanceLoad,
        now_ms: float,
    ) -> None:
        """
        Record a load report that came with a response.

        A figure that is missing keeps its earlier value and age.
        """
        record = self.get(instance)
        requests = load.count_requests()
        if requests is not None:
            record.reported_requests = requests
            record.reported_ms = now_ms
            record.in_flight_at_report = record.in_flight
        if load.work_time_ratio is not None:
            record.work_time_ratio = load.work_time_ratio
            record.work_time_reported_ms = now_ms

    def record_success(self, instance: str) -> None:
        """Reset the failure count and the suspicion of an instance."""
        record = self.get(instance)
        record.failures = 0
        record.suspect_until_ms = float('-inf')

    def record_failure(self, instance: str, now_ms: float) -> None:
        """
        Mark an instance as suspect for a limited time.

        The time doubles with each consecutive failure, so that a dead
        instance costs few attempts and a single failure costs little.
        """
        record = self.get(instance)
        doublings = min(
            record.failures,
            global_settings.SUSPECT_DOUBLINGS_LIMIT,
        )
        record.failures += 1
        record.suspect_until_ms = (
            now_ms + global_settings.UPSTREAM_SUSPECT_MS * 2**doublings
        )
