"""Report to operators which instances this gateway throttles, and why."""

from collections.abc import Iterator

from ragworthollow.outcomes import Reason
from ragworthollow.upstreams.operator_messages import (
    DrainedDomain,
    InstancesView,
    LimitedInstance,
    WarmingInstance,
)
from ragworthollow.utils import get_boottime_ms, get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.pool_throttle import PoolThrottle

_REASONS = (Reason.domain_drained, Reason.warming_up, Reason.rate_limited)


def describe_instances(context: GatewayContext) -> InstancesView:
    """
    Describe drained failure domains and throttled instances.

    Parameters
    ----------
    context : GatewayContext
        Shared state of this gateway.
    """
    now_ms = get_monotonic_ms()
    drained = context.directory.drains.get_since_ms()
    return InstancesView(
        drained=tuple(
            DrainedDomain(failure_domain=domain, drained_ms=now_ms - since_ms)
            for domain, since_ms in sorted(drained.items())
        ),
        warming=tuple(_describe_warming(context, now_ms)),
        limited=tuple(_describe_limited(context)),
        refused={
            reason: context.metrics.get_requests(reason) for reason in _REASONS
        },
    )


def _describe_warming(
    context: GatewayContext,
    now_ms: float,
) -> Iterator[WarmingInstance]:
    pools = {} if context.route_table is None else context.route_table.pools
    for pool in pools:
        throttle = PoolThrottle(context=context, pool=pool)
        for instance in context.directory.get_pool(pool):
            remaining_ms = context.throttle.warm_ups.get_remaining_ms(
                instance.get_incarnation(),
                now_ms,
            )
            if remaining_ms:
                yield WarmingInstance(
                    instance=instance.instance,
                    pool=pool,
                    left_ms=remaining_ms,
                    is_sender=throttle.get_wait_ms(instance) < remaining_ms,
                    burst=throttle.get_warm_up_burst(),
                )


def _describe_limited(context: GatewayContext) -> Iterator[LimitedInstance]:
    now_ms = get_boottime_ms()
    limits = context.throttle.advertised_limits
    pools = {} if context.route_table is None else context.route_table.pools
    for pool in pools:
        throttle = PoolThrottle(context=context, pool=pool)
        for instance in context.directory.get_pool(pool):
            limit = limits.find(instance.get_incarnation(), now_ms)
            if limit is not None:
                remaining_ms = limits.get_remaining_ms(limit, now_ms)
                yield LimitedInstance(
                    instance=instance.instance,
                    pool=pool,
                    requests_per_s=limit.requests_per_s,
                    named_age_ms=now_ms - limit.received_ms,
                    is_sender=throttle.get_wait_ms(instance) < remaining_ms,
                )
