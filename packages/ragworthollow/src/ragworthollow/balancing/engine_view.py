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

    def make_reports(
        self,
        instances: Iterable[UpstreamInstance],
        now_ms: float,
    ) -> dict[str, EngineReport]:
        """Return this gateway's reports, on the engines that it uses."""
        reports = {
            instance.get_incarnation(): self._report(instance, now_ms)
            for instance in instances
        }
        return {
            incarnation: report
            for incarnation, report in reports.items()
            if report != _NOTHING
        }

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

    def retain(self, incarnations: Iterable[str]) -> None:
        """Drop what is known of all engines but the given ones."""
        for incarnation in self._known_ratios.keys() - set(incarnations):
            self._known_ratios.pop(incarnation)

    def _report(
        self,
        instance: UpstreamInstance,
        now_ms: float,
    ) -> EngineReport:
        record = self._load_tracker.get(instance.instance)
        return EngineReport(
            requests=record.in_flight,
            unread_tokens=record.unread_tokens,
            work_time_ratio=self.work_times.get(
                instance.get_incarnation(), now_ms
            ),
        )

    def _make_state(
        self,
        instance: UpstreamInstance,
        now_ms: float,
    ) -> EngineState:
        incarnation = instance.get_incarnation()
        own = self._report(instance, now_ms)
        record = self._load_tracker.get(instance.instance)
        others = self._get_others(incarnation, now_ms)
        merged = merge_reports(own, others)
        if merged.work_time_ratio is not None:
            self._known_ratios[incarnation] = merged.work_time_ratio
        reported = record.in_flight + record.get_other_requests(now_ms)
        return EngineState(
            instance=instance,
            requests=max(merged.requests, reported),
            unread_tokens=merged.unread_tokens,
            work_time_ratio=self._known_ratios.get(incarnation),
            current_work_time_ratio=record.get_work_time_ratio(now_ms),
        )

    def _get_others(self, incarnation: str, now_ms: float) -> EngineReport:
        if self.get_age_ms(now_ms) > global_settings.ENGINE_REPORT_TTL_MS:
            return _NOTHING
        return self._others.get(incarnation, _NOTHING)
