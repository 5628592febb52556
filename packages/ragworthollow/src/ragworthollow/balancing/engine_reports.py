"""Collect the reports of all gateways on engines."""

from collections.abc import Mapping

from ragworthollow.balancing.engine_report import EngineReport, merge_reports
from ragworthollow.conf import global_settings

ReportsByEngine = Mapping[str, EngineReport]


class EngineReports:
    """Hold the recent reports of gateways, by gateway and engine."""

    def __init__(self) -> None:
        self._by_gateway: dict[str, ReportsByEngine] = {}
        self._received_ms: dict[str, float] = {}

    def record(
        self,
        gateway: str,
        reports: ReportsByEngine,
        now_ms: float,
    ) -> None:
        """Replace the reports of one gateway."""
        self._by_gateway[gateway] = reports
        self._received_ms[gateway] = now_ms

    def merge_others(
        self,
        gateway: str,
        now_ms: float,
        max_engines: int,
    ) -> dict[str, EngineReport]:
        """
        Merge the reports of all gateways but one.

        Parameters
        ----------
        gateway : str
            The gateway that is told and knows its own requests.
        now_ms : float
            Current time on the monotonic clock.
        max_engines : int
            Maximum number of engines; those with the most unread tokens are
            returned.
        """
        self._remove_expired(now_ms)
        merged: dict[str, EngineReport] = {}
        for source, reports in self._by_gateway.items():
            if source == gateway:
                continue
            for engine, report in reports.items():
                known = merged.get(engine)
                merged[engine] = (
                    report if known is None else merge_reports(known, report)
                )
        return take_most_loaded(merged, max_engines)

    def _remove_expired(self, now_ms: float) -> None:
        oldest_ms = now_ms - global_settings.ENGINE_REPORT_TTL_MS
        for gateway, received_ms in tuple(self._received_ms.items()):
            if received_ms < oldest_ms:
                self._received_ms.pop(gateway)
                self._by_gateway.pop(gateway)


def take_most_loaded(
    reports: ReportsByEngine,
    max_engines: int,
) -> dict[str, EngineReport]:
    """Return the reports on the engines with the most unread tokens."""
    most_loaded = sorted(
        reports.items(),
        key=lambda entry: entry[1].unread_tokens,
        reverse=True,
    )
    return dict(most_loaded[:max_engines])


def limit_engines(gateways: int) -> int:
    """
    Return on how many engines a gateway reports in one message.

    Parameters
    ----------
    gateways : int
        Gateways that exchange reports with one host, each with every ping.
    """
    pings_per_s = max(1, gateways) * 1000 / global_settings.HOST_PING_MS
    bytes_per_ping = global_settings.ENGINE_REPORTS_BYTES_PER_S / pings_per_s
    return max(1, int(bytes_per_ping / global_settings.ENGINE_REPORT_BYTES))
