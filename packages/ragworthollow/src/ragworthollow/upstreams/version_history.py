"""Track which software versions the instances of each pool have had."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ragworthollow.conf import global_settings
from ragworthollow.upstreams.upstream_instance import UpstreamInstance


@dataclass(frozen=True, kw_only=True, slots=True)
class _ListedSpan:
    first_ms: float
    last_ms: float


class VersionHistory:
    """
    Track when each software version of a pool was listed first and last.

    All times are on the monotonic clock, in milliseconds.
    """

    def __init__(self) -> None:
        self._spans: dict[str, dict[str, _ListedSpan]] = {}

    def record(self, listed: Iterable[UpstreamInstance], now_ms: float) -> None:
        """Record a list, including instances that are shutting down."""
        for instance in listed:
            spans = self._spans.setdefault(instance.pool, {})
            known = spans.get(instance.software_version)
            spans[instance.software_version] = _ListedSpan(
                first_ms=now_ms if known is None else known.first_ms,
                last_ms=now_ms,
            )
        self._forget(now_ms - global_settings.MAX_DEADLINE_MS)

    def list_current(self, updated_ms: float) -> dict[str, frozenset[str]]:
        """Return the versions of each pool in the list of a time."""
        return {
            pool: frozenset(
                version
                for version, span in spans.items()
                if span.last_ms >= updated_ms
            )
            for pool, spans in self._spans.items()
        }

    def get_last_listed_ms(
        self, pool: str, since_ms: float
    ) -> Mapping[str, float]:
        """Return when each version listed since a time was listed last."""
        return {
            version: span.last_ms
            for version, span in self._spans.get(pool, {}).items()
            if span.last_ms >= since_ms
        }

    def list_settled(self, pool: str, before_ms: float) -> frozenset[str]:
        """Return the versions that were listed before a time."""
        return frozenset(
            version
            for version, span in self._spans.get(pool, {}).items()
            if span.first_ms < before_ms
        )

    def _forget(self, before_ms: float) -> None:
        self._spans = {
            pool: {
                version: span
                for version, span in spans.items()
                if span.last_ms >= before_ms
            }
            for pool, spans in self._spans.items()
        }
