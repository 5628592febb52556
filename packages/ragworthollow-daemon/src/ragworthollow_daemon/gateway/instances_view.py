"""Describe to operators where this gateway sends less, and why."""

from collections.abc import Iterator

from ragworthollow.outcomes import Reason
from ragworthollow.upstreams.operator_messages import (
    DrainedDomain,
    InstancesView,
    WarmingInstance,
)
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.pool_throttle import PoolThrottle

_REASONS = (Reason.domain_drained, Reason.warming_up)


def describe_instances(context: GatewayContext) -> InstancesView:
    """
    Describe drained failure domains and instances that warm up.

    Parameters
    ----------
    context : GatewayContext
        Of this process.
    """
    now_ms = get_monotonic_ms()
    drained = context.directory.drains.get_since_ms()
    return InstancesView(
        drained=tuple(
            DrainedDomain(failure_domain=domain, drained_ms=now_ms - since_ms)
            for domain, since_ms in sorted(drained.items())
        ),
        warming=tuple(_describe_warming(context, now_ms)),
        refused={
            reason: context.metrics.get_requests(reason) for reason in _REASONS
        },
    )


def _describe_warming(
    context: GatewayContext,
    now_ms: float,
) -> Iterator[WarmingInstance]:
    pools = {} if context.table is None else context.table.pools
    for pool in pools:
        throttle = PoolThrottle(context=context, pool=pool)
        for one in context.directory.get_pool(pool):
            left_ms = context.throttle.warm_ups.get_left_ms(
                one.get_incarnation(),
                now_ms,
            )
            if left_ms:
                yield WarmingInstance(
                    instance=one.instance,
                    pool=pool,
                    left_ms=left_ms,
                    is_sender=throttle.get_wait_ms(one) < left_ms,
                    burst=throttle.get_burst(),
                )
