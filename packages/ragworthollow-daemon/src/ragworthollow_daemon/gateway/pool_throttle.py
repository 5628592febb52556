"""Apply the request limits of the instances of one pool."""

from collections.abc import Collection, Iterator, Sequence
from dataclasses import dataclass

from ragworthollow.conf import global_settings
from ragworthollow.outcomes import Reason
from ragworthollow.throttling import RateLimits, derive_limits
from ragworthollow.upstreams import UpstreamInstance
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext


@dataclass(frozen=True, kw_only=True, slots=True)
class ThrottleRefusal:
    """
    Describe why no instance of a pool may get a request.

    Attributes
    ----------
    reason : Reason
        Kind of limit that applies to the instances.
    retry_after_ms : float
        Time after which a caller may retry.
    """

    reason: Reason
    retry_after_ms: float


class PoolThrottle:
    """
    Determine which instances of a pool this gateway may send to now.

    Parameters
    ----------
    context : GatewayContext
        State of this gateway.
    pool : str
        Name of the pool.
    is_only_sender : bool
        Whether no other gateway sends to the pool, as on the host of its
        scheduler.
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        pool: str,
        is_only_sender: bool = False,
    ) -> None:
        self._context = context
        self._pool = pool
        self._is_only_sender = is_only_sender
        self._warm_up_limits = _find_warm_up_limits(context, pool)

    def get_warm_up_burst(self) -> int | None:
        """Return the requests in any second of warm-up; None if unlimited."""
        limits = self._warm_up_limits
        return None if limits is None else limits.burst

    def get_available(self) -> Sequence[UpstreamInstance]:
        """Return the instances that may get a request now."""
        instances = self._context.directory.get_pool(self._pool)
        if not self._context.throttle.is_needed():
            return instances
        return [
            instance for instance in instances if not self.get_wait_ms(instance)
        ]

    def get_wait_ms(self, instance: UpstreamInstance) -> float:
        """Return how long this gateway may not send to an instance."""
        return self._context.throttle.get_wait_ms(
            instance.get_incarnation(),
            self._warm_up_limits,
            get_monotonic_ms(),
            is_only_sender=self._is_only_sender,
        )

    def get_pool_wait_ms(self, tried: Collection[str] = ()) -> float:
        """
        Return how long this gateway may not send to any instance.

        Parameters
        ----------
        tried : collection of str
            Instances to ignore.

        Returns
        -------
        float
            Time in milliseconds; 0 if any instance may get a request now, and
            for a pool without instances.
        """
        if not self._context.throttle.is_needed():
            return 0
        return min(map(self.get_wait_ms, self._list_untried(tried)), default=0)

    def find_refusal(
        self,
        tried: Collection[str] = (),
    ) -> ThrottleRefusal | None:
        """
        Return why this gateway may not send to any instance.

        Parameters
        ----------
        tried : collection of str
            Instances to ignore.

        Returns
        -------
        ThrottleRefusal or None
            None if any instance may get a request now.
        """
        wait_ms = self.get_pool_wait_ms(tried)
        if not wait_ms:
            return None
        if not any(map(self._has_advertised_limit, self._list_untried(tried))):
            return ThrottleRefusal(
                reason=Reason.warming_up,
                retry_after_ms=wait_ms,
            )
        # Another gateway may be allowed to send to an instance that this one
        # may not send to, and gets its share in every window.
        return ThrottleRefusal(
            reason=Reason.rate_limited,
            retry_after_ms=min(
                wait_ms, global_settings.ADVERTISED_LIMIT_WINDOW_MS
            ),
        )

    def try_acquire(self, instance: UpstreamInstance) -> bool:
        """Return whether an instance may get a message now; record it if so."""
        if self.get_wait_ms(instance):
            return False
        self.record_sent(instance)
        return True

    def record_sent(self, instance: UpstreamInstance) -> None:
        """Record that a request is sent to an instance now."""
        if self._context.throttle.is_needed():
            self._context.throttle.record_sent(
                instance.get_incarnation(),
                self._warm_up_limits,
                get_monotonic_ms(),
                is_only_sender=self._is_only_sender,
            )

    def _list_untried(
        self, tried: Collection[str]
    ) -> Iterator[UpstreamInstance]:
        for instance in self._context.directory.get_pool(self._pool):
            if instance.instance not in tried:
                yield instance

    def _has_advertised_limit(self, instance: UpstreamInstance) -> bool:
        advertised = self._context.throttle.advertised_limits.find(
            instance.get_incarnation(),
            get_monotonic_ms(),
        )
        return advertised is not None


def _find_warm_up_limits(
    context: GatewayContext,
    pool: str,
) -> RateLimits | None:
    pool_config = (
        None
        if context.route_table is None
        else context.route_table.pools.get(pool)
    )
    if pool_config is None:
        return None
    return derive_limits(
        requests_per_s=pool_config.warm_up_per_s,
        burst_ratio=context.settings.warm_up_burst_ratio,
        burst_slack=context.settings.warm_up_burst_slack,
    )
