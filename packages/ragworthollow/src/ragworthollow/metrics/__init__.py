"""Count and time what happens, in a form that scrapers read."""

from ragworthollow.metrics.invariants import InvariantMonitor
from ragworthollow.metrics.registry import Metrics

__all__ = ('InvariantMonitor', 'Metrics')
