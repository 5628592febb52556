"""Collect counters, gauges and latencies for Prometheus scrapers."""

from ragworthollow.metrics.invariants import InvariantMonitor
from ragworthollow.metrics.registry import Metrics

__all__ = ('InvariantMonitor', 'Metrics')
