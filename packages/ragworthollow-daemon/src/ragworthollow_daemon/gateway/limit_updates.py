"""Apply the rate limits that instances advertise in their responses."""

from collections.abc import Mapping

from ragworthollow.exchange import ResponseMetadata
from ragworthollow.logs.events import log_event
from ragworthollow.throttling import (
    UNLIMITED_PER_S,
    AdvertisedLimit,
    LimitUpdate,
    make_limit_update,
    read_limit_update,
)
from ragworthollow.upstreams import UpstreamInstance
from ragworthollow.utils import get_boottime_ms
from ragworthollow_daemon.gateway.context import GatewayContext

_STEP = 'instances'


def record_limit(
    context: GatewayContext,
    instance: UpstreamInstance,
    metadata: ResponseMetadata,
    *,
    sent_ms: float,
    is_authentic: bool,
) -> None:
    """
    Record the rate limit that a response advertises, or that it has none.

    Parameters
    ----------
    context : GatewayContext
        State of this gateway.
    instance : UpstreamInstance
        Instance to which the request was sent.
    metadata : ResponseMetadata
        Metadata from the head of the response.
    sent_ms : float
        When the request was sent, on CLOCK_BOOTTIME, which includes time in
        suspend.
    is_authentic : bool
        Whether a response without a limit ends the known one.
    """
    if metadata.unreadable_limit:
        _record_unreadable(context, instance, metadata)
    limit_per_s = metadata.limit_per_s
    if limit_per_s is None:
        if metadata.unreadable_limit or not is_authentic:
            return
        limit_per_s = UNLIMITED_PER_S
    advertised = AdvertisedLimit(
        requests_per_s=limit_per_s,
        sent_ms=sent_ms,
        received_ms=get_boottime_ms(),
    )
    _record_advertised(context, instance, advertised)


def make_limit_updates(context: GatewayContext) -> dict[str, LimitUpdate]:
    """Return the limit updates to send to another gateway now."""
    now_ms = get_boottime_ms()
    chosen = context.throttle.advertised_limits.choose_to_send(now_ms)
    return {
        incarnation: make_limit_update(advertised, now_ms)
        for incarnation, advertised in chosen.items()
    }


def apply_limit_updates(
    context: GatewayContext,
    updates: Mapping[str, LimitUpdate],
    sent_after_ms: float,
) -> None:
    """
    Apply the limit updates of another gateway.

    Parameters
    ----------
    context : GatewayContext
        State of this gateway.
    updates : mapping of str to LimitUpdate
        The updates, by incarnation.
    sent_after_ms : float
        Time before which they were not sent, on CLOCK_BOOTTIME, which
        includes time in suspend.
    """
    now_ms = get_boottime_ms()
    for incarnation, update in updates.items():
        advertised = read_limit_update(
            update,
            sent_after_ms=sent_after_ms,
            now_ms=now_ms,
        )
        if context.throttle.advertised_limits.record_received(
            incarnation, advertised
        ):
            context.metrics.count_event('instance_limit_heard')
            log_event(
                'instance_limit_heard',
                step=_STEP,
                peer=incarnation,
                limit_per_s=update.requests_per_s,
                age_ms=round(update.heard_age_ms),
            )


def _record_advertised(
    context: GatewayContext,
    instance: UpstreamInstance,
    advertised: AdvertisedLimit,
) -> None:
    limits = context.throttle.advertised_limits
    if not limits.record(instance.get_incarnation(), advertised):
        return
    context.metrics.count_event('instance_named_limit')
    log_event(
        'instance_named_limit',
        step=_STEP,
        peer=instance.instance,
        started_unix_ms=instance.started_unix_ms,
        pool=instance.pool,
        limit_per_s=advertised.requests_per_s
        if advertised.is_limit()
        else None,
        answer_ms=round(advertised.received_ms - advertised.sent_ms),
    )


def _record_unreadable(
    context: GatewayContext,
    instance: UpstreamInstance,
    metadata: ResponseMetadata,
) -> None:
    context.metrics.count_event('instance_limit_unreadable')
    log_event(
        'instance_limit_unreadable',
        step=_STEP,
        peer=instance.instance,
        pool=instance.pool,
        found=metadata.unreadable_limit,
        limit_per_s=metadata.limit_per_s,
    )
