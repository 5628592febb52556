"""Keep to what the instances of one pool bear while they warm up."""

from collections.abc import Collection, Sequence

from ragworthollow.throttling import RateLimits, derive_limits
from ragworthollow.upstreams import UpstreamInstance
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext


class PoolThrottle:
    """
    Say which instances of a pool may get a request from this gateway now.

    Parameters
    ----------
    context : GatewayContext
        Of this process.
    pool : str
        The pool.
    is_only_sender : bool
        Whether no other gateway sends to it, as for the host of a gate.
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
        self._limits = _find_limits(context, pool)

    def get_burst(self) -> int | None:
        """Return what an instance may get in one second; None for all."""
        return None if self._limits is None else self._limits.burst

    def get_ready(self) -> Sequence[UpstreamInstance]:
        """Return the instances that may get a request now."""
        instances = self._context.directory.get_pool(self._pool)
        if not self._is_needed():
            return instances
        return [one for one in instances if not self.get_wait_ms(one)]

    def get_wait_ms(self, instance: UpstreamInstance) -> float:
        """Return how long an instance may get nothing from here."""
        if self._limits is None:
            return 0
        return self._context.throttle.get_wait_ms(
            instance.get_incarnation(),
            self._limits,
            get_monotonic_ms(),
            is_only_sender=self._is_only_sender,
        )

    def get_pool_wait_ms(self, tried: Collection[str] = ()) -> float:
        """
        Return how long no instance may get anything from here.

        Parameters
        ----------
        tried : collection of str
            Instances that do not count.

        Returns
        -------
        float
            0 if any may now, and for a pool without instances.
        """
        if not self._is_needed():
            return 0
        instances = self._context.directory.get_pool(self._pool)
        waits_ms = (
            self.get_wait_ms(one)
            for one in instances
            if one.instance not in tried
        )
        return min(waits_ms, default=0)

    def note_sent(self, instance: UpstreamInstance) -> None:
        """Note a request that is sent to an instance now."""
        if self._limits is not None:
            self._context.throttle.note_sent(
                instance.get_incarnation(),
                self._limits,
                get_monotonic_ms(),
                is_only_sender=self._is_only_sender,
            )

    def _is_needed(self) -> bool:
        return self._limits is not None and self._context.throttle.is_needed()


def _find_limits(context: GatewayContext, pool: str) -> RateLimits | None:
    described = None if context.table is None else context.table.pools.get(pool)
    if described is None:
        return None
    return derive_limits(
        requests_per_s=described.warm_up_per_s,
        burst_ratio=context.settings.warm_up_burst_ratio,
        burst_slack=context.settings.warm_up_burst_slack,
    )
