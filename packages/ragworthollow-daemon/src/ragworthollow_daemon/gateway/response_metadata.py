"""Apply the metadata that instances send with their responses."""

from collections.abc import Mapping

from ragworthollow.conf import global_settings
from ragworthollow.exchange import ResponseMetadata
from ragworthollow.logs.events import log_event
from ragworthollow.upstreams import UpstreamInstance
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.limit_updates import record_limit

_STEP = 'instances'


def apply_response_metadata(
    context: GatewayContext,
    instance: UpstreamInstance,
    metadata: ResponseMetadata,
    *,
    sent_ms: float,
    is_authentic: bool = False,
) -> None:
    """
    Apply the metadata of a response as soon as its head has been read.

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
        Whether this is verified to be the instance's response to a request
        for work.  Only then does missing metadata mean that it no longer
        applies.
    """
    if metadata.is_misdirected:
        # Another instance listens at the address; the metadata is about it.
        return
    now_ms = get_monotonic_ms()
    if metadata.load is not None:
        context.load_tracker.record_load(
            instance.instance, metadata.load, now_ms
        )
        _record_work_time(
            context, instance, metadata.load.work_time_ratio, now_ms
        )
    if metadata.is_leaving:
        _record_leaving(context, instance, now_ms)
    if metadata.warm_up_remaining_ms:
        context.throttle.warm_ups.record(
            instance.get_incarnation(),
            now_ms + metadata.warm_up_remaining_ms,
        )
    if metadata.pause_ms is not None:
        _record_pause(context, instance, now_ms, metadata.pause_ms)
    record_limit(
        context,
        instance,
        metadata,
        sent_ms=sent_ms,
        is_authentic=is_authentic,
    )


def get_leaving_ages_ms(context: GatewayContext) -> dict[str, float]:
    """Return how long ago instances announced their shutdown, for peers."""
    now_ms = get_monotonic_ms()
    return {
        incarnation: now_ms - since_ms
        for incarnation, since_ms in context.directory.get_leaving().items()
        if now_ms - since_ms < global_settings.LEAVING_NOTIFY_MS
    }


def apply_leaving(
    context: GatewayContext,
    ages_ms: Mapping[str, float],
) -> None:
    """
    Apply another gateway's report of instances that are shutting down.

    Parameters
    ----------
    context : GatewayContext
        State of this gateway.
    ages_ms : mapping of str to float
        How long ago they announced it, in milliseconds, by incarnation.
    """
    now_ms = get_monotonic_ms()
    for incarnation, age_ms in ages_ms.items():
        if context.directory.record_leaving(incarnation, now_ms - age_ms):
            context.metrics.count_event('instance_leaving_heard')
            log_event(
                'instance_leaving_heard',
                step=_STEP,
                peer=incarnation,
                age_ms=round(age_ms),
            )


def _record_work_time(
    context: GatewayContext,
    instance: UpstreamInstance,
    ratio: float | None,
    now_ms: float,
) -> None:
    """Record the work time that an engine reports, which others are told."""
    table = context.route_table
    pool = None if table is None else table.pools.get(instance.pool)
    if ratio is None or pool is None or not pool.is_engine:
        return
    work_times = context.engine_view.work_times
    if not work_times.has_reports:
        log_event(
            'work_time_reported',
            step=_STEP,
            peer=instance.instance,
            pool=instance.pool,
            work_time_ratio=ratio,
        )
    work_times.record(instance.get_incarnation(), ratio, now_ms)


def _record_leaving(
    context: GatewayContext,
    instance: UpstreamInstance,
    now_ms: float,
) -> None:
    if not context.directory.record_leaving(instance.get_incarnation(), now_ms):
        return
    context.quarantine.has_urgent_update.set()
    context.metrics.count_event('instance_said_leaving')
    log_event(
        'instance_said_leaving',
        step=_STEP,
        peer=instance.instance,
        started_unix_ms=instance.started_unix_ms,
        pool=instance.pool,
        list_age_ms=round(now_ms - context.directory.updated_ms),
    )


def _record_pause(
    context: GatewayContext,
    instance: UpstreamInstance,
    now_ms: float,
    pause_ms: float,
) -> None:
    context.directory.record_pause(instance, now_ms + pause_ms)
    context.metrics.count_event('instance_said_pause')
    log_event(
        'instance_said_pause',
        step=_STEP,
        peer=instance.instance,
        pool=instance.pool,
        pause_ms=round(pause_ms),
    )
