"""Combine what this gateway and others know of engines."""

from collections.abc import Iterable, Mapping

from ragworthollow.balancing.engine_report import EngineReport, merge_reports
from ragworthollow.balancing.engine_reports import EngineReports
from ragworthollow.balancing.engine_state import EngineState
from ragworthollow.balancing.work_times import WorkTimes
from ragworthollow.conf import global_settings
from ragworthollow.upstreams import (
    FirstEventLatency,
    LoadTracker,
    UpstreamInstance,
)

_NOTHING = EngineReport()


class EngineView:
    """
    Hold what is known of the engines, each by its incarnation.

    Parameters
    ----------
    load_tracker : LoadTracker
        Requests of this gateway, and the load that instances report.

    Attributes
    ----------
    work_times : WorkTimes
        Usual work times that engines have reported to this gateway.
    collected : EngineReports
        Reports of all gateways, if this one collects them.
    """

    def __init__(self, *, load_tracker: LoadTracker) -> None:
        self.work_times = WorkTimes()
        self.collected = EngineReports()
        self._first_event_latencies: dict[str, FirstEventLatency] = {}
        self._load_tracker = load_tracker
        self._others: Mapping[str, EngineReport] = {}
        self._others_received_ms = float('-inf')
        self._known_ratios: dict[str, float] = {}

    def get_first_event_latency(self, pool: str) -> FirstEventLatency:
        """Return the statistics of a pool's time to the first event."""
        return self._first_event_latencies.setdefault(pool, FirstEventLatency())

    def record_others(
        self,
        reports: Mapping[str, EngineReport],
        now_ms: float,
    ) -> None:
        """Replace the reports of all other gateways."""
        self._others = reports
        self._others_received_ms = now_ms

    def refresh(
        self,
        instances: Iterable[UpstreamInstance],
        now_ms: float,
    ) -> dict[str, EngineReport]:
        """
        Update the usual work times, and return this gateway's reports.

        Parameters
        ----------
        instances : iterable of UpstreamInstance
            All listed engines; what is known of others is dropped.
        now_ms : float
            Current time on the monotonic clock.

        Returns
        -------
        dict of str to EngineReport
            Reports on the engines that this gateway uses, by incarnation.
        """
        listed = {
            instance.get_incarnation(): instance for instance in instances
        }
        for incarnation in self._known_ratios.keys() - listed.keys():
            self._known_ratios.pop(incarnation)
        reports = {}
        for incarnation, instance in listed.items():
            report = self._report(instance, now_ms)
            if report is not _NOTHING:
                reports[incarnation] = report
            if report is not _NOTHING or incarnation in self._others:
                self._merge(incarnation, report, now_ms)
        return reports

    def has_work_times(self) -> bool:
        """Return whether any engine has reported its work time to anybody."""
        return self.work_times.has_reports or bool(self._others)

    def get_ratios(
        self, instances: Iterable[UpstreamInstance]
    ) -> dict[str, float]:
        """Return the known usual work times, by name of the engine."""
        ratios = {}
        for instance in instances:
            ratio = self._known_ratios.get(instance.get_incarnation())
            if ratio is not None:
                ratios[instance.instance] = ratio
        return ratios

    def make_states(
        self,
        instances: Iterable[UpstreamInstance],
        now_ms: float,
    ) -> list[EngineState]:
        """Return the state of each engine as far as it is known."""
        return [self._make_state(instance, now_ms) for instance in instances]

    def get_age_ms(self, now_ms: float) -> float:
        """Return the age of the other gateways' reports."""
        return now_ms - self._others_received_ms

    def _report(
        self,
        instance: UpstreamInstance,
        now_ms: float,
    ) -> EngineReport:
        record = self._load_tracker.get(instance.instance)
        ratio = self.work_times.get(instance.get_incarnation(), now_ms)
        if ratio is None and not record.in_flight:
            return _NOTHING
        return EngineReport(
            requests=record.in_flight,
            unread_tokens=record.unread_tokens,
            work_time_ratio=ratio,
        )

    def _make_state(
        self,
        instance: UpstreamInstance,
        now_ms: float,
    ) -> EngineState:
        incarnation = instance.get_incarnation()
        record = self._load_tracker.get(instance.instance)
        merged = self._merge(
            incarnation, self._report(instance, now_ms), now_ms
        )
        reported = record.in_flight + record.get_other_requests(now_ms)
        return EngineState(
            instance=instance,
            requests=max(merged.requests, reported),
            unread_tokens=merged.unread_tokens,
            work_time_ratio=self._known_ratios.get(incarnation),
            current_work_time_ratio=record.get_work_time_ratio(now_ms),
        )

    def _merge(
        self,
        incarnation: str,
        own: EngineReport,
        now_ms: float,
    ) -> EngineReport:
        """Add the others' report, and keep the usual work time."""
        merged = merge_reports(own, self._get_others(incarnation, now_ms))
        if merged.work_time_ratio is not None:
            self._known_ratios[incarnation] = merged.work_time_ratio
        return merged

    def _get_others(self, incarnation: str, now_ms: float) -> EngineReport:
        if self.get_age_ms(now_ms) > global_settings.ENGINE_REPORT_TTL_MS:
            return _NOTHING
        return self._others.get(incarnation, _NOTHING)
