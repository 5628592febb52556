"""Record latencies in HDR histograms and expose them as summaries."""

from collections.abc import Iterator

from hdrh.histogram import HdrHistogram
from prometheus_client.core import SummaryMetricFamily
from prometheus_client.registry import Collector

from ragworthollow.conf import global_settings

_PERCENTILES = (50.0, 95.0, 99.0, 99.9)
_MICROSECONDS_PER_MILLISECOND = 1000
_MICROSECONDS_PER_SECOND = 1_000_000
_PERCENT = 100


class LatencyCollector(Collector):
    """Maintain a latency histogram in microseconds for each step."""

    def __init__(self) -> None:
        self._histograms: dict[str, HdrHistogram] = {}
        self._sums_us: dict[str, float] = {}

    def record(self, step: str, elapsed_ms: float) -> None:
        """
        Record one latency.

        Parameters
        ----------
        step : str
            Name of the stage or hop.
        elapsed_ms : float
            Latency in milliseconds.
        """
        histogram = self._histograms.get(step)
        if histogram is None:
            histogram = HdrHistogram(
                1,
                global_settings.HISTOGRAM_MAX_US,
                global_settings.HISTOGRAM_DIGITS,
            )
            self._histograms[step] = histogram
        elapsed_us = max(1, int(elapsed_ms * _MICROSECONDS_PER_MILLISECOND))
        histogram.record_value(
            min(elapsed_us, global_settings.HISTOGRAM_MAX_US),
        )
        self._sums_us[step] = self._sums_us.get(step, 0) + elapsed_us

    def get_percentile_ms(self, step: str, percentile: float) -> float:
        """Return a percentile in milliseconds; 0 for an unknown step."""
        histogram = self._histograms.get(step)
        if histogram is None:
            return 0
        latency_us = histogram.get_value_at_percentile(percentile)
        return latency_us / _MICROSECONDS_PER_MILLISECOND

    def collect(self) -> Iterator[SummaryMetricFamily]:
        """Yield the summary family, in seconds by Prometheus convention."""
        family = SummaryMetricFamily(
            'ragworthollow_latency_seconds',
            'Latency by step',
            labels=['step'],
        )
        for step, histogram in self._histograms.items():
            family.add_metric(
                [step],
                count_value=histogram.get_total_count(),
                sum_value=self._sums_us[step] / _MICROSECONDS_PER_SECOND,
            )
            for percentile in _PERCENTILES:
                latency_us = histogram.get_value_at_percentile(percentile)
                family.add_sample(
                    'ragworthollow_latency_seconds',
                    {'step': step, 'quantile': str(percentile / _PERCENT)},
                    latency_us / _MICROSECONDS_PER_SECOND,
                )
        yield family
