"""Show where a gateway limits its requests, and why."""

import asyncio
import sys
from collections.abc import Iterator

from ragworthollow.upstreams.operator_messages import (
    INSTANCES_PATH,
    InstancesView,
    LimitedInstance,
    WarmingInstance,
)
from ragworthollow_ctl.gateway_client import query_gateway

_MS_PER_SECOND = 1000


def instances(gateway: str) -> None:
    """
    Show drained failure domains and rate-limited instances.

    Parameters
    ----------
    gateway
        Metrics address of any gateway, IP:PORT.
    """
    view = asyncio.run(query_gateway(gateway, INSTANCES_PATH, InstancesView))
    sys.stdout.writelines(f'{line}\n' for line in _render(view))


def _render(view: InstancesView) -> Iterator[str]:
    for domain in view.drained:
        drained_s = domain.drained_ms / _MS_PER_SECOND
        yield f'{domain.failure_domain}  drained for {drained_s:.0f} s'
    yield from map(_render_warming, view.warming)
    yield from map(_render_limited, view.limited)
    for reason, count in view.refused.items():
        yield f'{reason}  {count} requests refused'


def _render_warming(instance: WarmingInstance) -> str:
    limit = (
        'any number'
        if instance.burst is None
        else f'{instance.burst} in any second'
    )
    return (
        f'{instance.instance}  {instance.pool}  warms up for'
        f' {instance.left_ms / _MS_PER_SECOND:.1f} s  gets {limit}'
        f'  {_render_sender(instance)}'
    )


def _render_limited(instance: LimitedInstance) -> str:
    return (
        f'{instance.instance}  {instance.pool}'
        f'  takes {instance.requests_per_s:g} a second'
        f' as of {instance.named_age_ms / _MS_PER_SECOND:.1f} s ago'
        f'  {_render_sender(instance)}'
    )


def _render_sender(instance: WarmingInstance | LimitedInstance) -> str:
    return 'from here too' if instance.is_sender else 'not from here'
