"""Hold the metrics of one process."""

from prometheus_client import CollectorRegistry, Counter, Gauge
from prometheus_client.exposition import generate_latest

from ragworthollow.metrics.latency import LatencyCollector
from ragworthollow.outcomes import Outcome, Reason


class Metrics:
    """Maintain the metrics of one process without global state."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.latency = LatencyCollector()
        self.registry.register(self.latency)
        self._requests = self._make_counter(
            'requests',
            'Requests of callers by outcome and reason',
            'pipeline',
            'outcome',
            'reason',
        )
        self._attempts = self._make_counter(
            'attempts',
            'Attempts of stages by outcome and reason',
            'step',
            'outcome',
            'reason',
        )
        self._retries = self._make_counter(
            'retries',
            'Further attempts by what caused them',
            'step',
            'reason',
        )
        self._violations = self._make_counter(
            'invariant_violations',
            'Violated invariants; any is a defect',
            'invariant',
        )
        self._events = self._make_counter(
            'events',
            'Internal events by name',
            'event',
        )
        self._busy_ms = self._make_counter(
            'upstream_busy_milliseconds',
            'Upstream busy time by step and by what became of it',
            'step',
            'outcome',
        )
        self._gauge = Gauge(
            'ragworthollow_state',
            'State of this process',
            ['name'],
            registry=self.registry,
        )

    def count_request(
        self,
        pipeline: str,
        outcome: Outcome,
        reason: Reason | None = None,
    ) -> None:
        """Count the final outcome of one request."""
        self._requests.labels(pipeline, outcome, reason or '').inc()

    def get_requests(self, reason: Reason) -> int:
        """Return the number of requests that ended with a reason."""
        return sum(
            int(sample.value)
            for family in self._requests.collect()
            for sample in family.samples
            if sample.name.endswith('_total')
            and sample.labels['reason'] == reason
        )

    def count_attempt(
        self,
        step: str,
        outcome: Outcome,
        reason: Reason | None = None,
    ) -> None:
        """Count the outcome of one attempt."""
        self._attempts.labels(step, outcome, reason or '').inc()

    def count_retry(self, step: str, reason: str) -> None:
        """Count one retry."""
        self._retries.labels(step, reason).inc()

    def count_violation(self, invariant: str) -> None:
        """Count one violated invariant."""
        self._violations.labels(invariant).inc()

    def count_event(self, event: str) -> None:
        """Count one internal event."""
        self._events.labels(event).inc()

    def add_busy_ms(self, step: str, outcome: Outcome, busy_ms: float) -> None:
        """Add upstream busy time in milliseconds."""
        self._busy_ms.labels(step, outcome).inc(busy_ms)

    def set_state(self, name: str, amount: float) -> None:
        """Set the value of one state gauge."""
        self._gauge.labels(name).set(amount)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _make_counter(self, name: str, help_text: str, *labels: str) -> Counter:
        return Counter(
            f'ragworthollow_{name}',
            help_text,
            labels,
            registry=self.registry,
        )
