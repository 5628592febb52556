"""Apply what instances say of themselves in their answers."""

from collections.abc import Mapping

from ragworthollow.conf import global_settings
from ragworthollow.exchange import AnswerMarks
from ragworthollow.logs.events import log_event
from ragworthollow.upstreams import UpstreamInstance
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.limit_notices import note_limit

_STEP = 'instances'


def note_marks(
    context: GatewayContext,
    instance: UpstreamInstance,
    marks: AnswerMarks,
    *,
    asked_ms: float,
    is_authentic: bool = False,
) -> None:
    """
    Apply the marks of an answer, as soon as its head has been read.

    Parameters
    ----------
    context : GatewayContext
        Of this process.
    instance : UpstreamInstance
        Who was asked.
    marks : AnswerMarks
        What the head says.
    asked_ms : float
        When the request was sent, on the clock that counts suspended time.
    is_authentic : bool
        Whether this is certainly the instance's answer to a request for work:
        only then does a mark that is missing say that it holds no more.
    """
    if marks.is_misdirected:
        # Another instance listens there and speaks of itself.
        return
    now_ms = get_monotonic_ms()
    if marks.load is not None:
        context.book.note_load(instance.instance, marks.load, now_ms)
    if marks.is_leaving:
        _note_leaving(context, instance, now_ms)
    if marks.warm_up_left_ms:
        context.throttle.warm_ups.note(
            instance.get_incarnation(),
            now_ms + marks.warm_up_left_ms,
        )
    if marks.pause_ms is not None:
        _note_pause(context, instance, now_ms, marks.pause_ms)
    note_limit(
        context,
        instance,
        marks,
        asked_ms=asked_ms,
        is_authentic=is_authentic,
    )


def get_leaving_ages_ms(context: GatewayContext) -> dict[str, float]:
    """Return what other gateways are to know of instances that leave."""
    now_ms = get_monotonic_ms()
    return {
        incarnation: now_ms - since_ms
        for incarnation, since_ms in context.directory.get_leaving().items()
        if now_ms - since_ms < global_settings.LEAVING_TOLD_MS
    }


def take_leaving(
    context: GatewayContext,
    ages_ms: Mapping[str, float],
) -> None:
    """
    Take what another gateway knows of instances that leave.

    Parameters
    ----------
    context : GatewayContext
        Of this process.
    ages_ms : mapping of str to float
        How long ago they said so, by their incarnation.
    """
    now_ms = get_monotonic_ms()
    for incarnation, age_ms in ages_ms.items():
        if context.directory.note_leaving(incarnation, now_ms - age_ms):
            context.metrics.count_event('instance_leaving_heard')
            log_event(
                'instance_leaving_heard',
                step=_STEP,
                peer=incarnation,
                age_ms=round(age_ms),
            )


def _note_leaving(
    context: GatewayContext,
    instance: UpstreamInstance,
    now_ms: float,
) -> None:
    if not context.directory.note_leaving(instance.get_incarnation(), now_ms):
        return
    context.quarantine.has_urgent_news.set()
    context.metrics.count_event('instance_said_leaving')
    log_event(
        'instance_said_leaving',
        step=_STEP,
        peer=instance.instance,
        started_unix_ms=instance.started_unix_ms,
        pool=instance.pool,
        list_age_ms=round(now_ms - context.directory.updated_ms),
    )


def _note_pause(
    context: GatewayContext,
    instance: UpstreamInstance,
    now_ms: float,
    pause_ms: float,
) -> None:
    context.directory.note_pause(instance, now_ms + pause_ms)
    context.metrics.count_event('instance_said_pause')
    log_event(
        'instance_said_pause',
        step=_STEP,
        peer=instance.instance,
        pool=instance.pool,
        pause_ms=round(pause_ms),
    )
