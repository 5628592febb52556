"""Apply the limits that instances name in their answers."""

from collections.abc import Mapping

from ragworthollow.exchange import AnswerMarks
from ragworthollow.logs.events import log_event
from ragworthollow.throttling import (
    UNLIMITED_PER_S,
    LimitNews,
    NamedLimit,
    make_limit_news,
    read_limit_news,
)
from ragworthollow.upstreams import UpstreamInstance
from ragworthollow.utils import get_boottime_ms
from ragworthollow_daemon.gateway.context import GatewayContext

_STEP = 'instances'


def note_limit(
    context: GatewayContext,
    instance: UpstreamInstance,
    marks: AnswerMarks,
    *,
    asked_ms: float,
    is_authentic: bool,
) -> None:
    """
    Take what an answer says of its instance's limit.

    Parameters
    ----------
    context : GatewayContext
        Of this process.
    instance : UpstreamInstance
        Who was asked.
    marks : AnswerMarks
        What the head of the answer says.
    asked_ms : float
        When the request was sent, on the clock that counts suspended time.
    is_authentic : bool
        Whether an answer that names no limit ends the one that is known.
    """
    if marks.unreadable_limit:
        _note_unreadable(context, instance, marks)
    limit_per_s = marks.limit_per_s
    if limit_per_s is None:
        if marks.unreadable_limit or not is_authentic:
            return
        limit_per_s = UNLIMITED_PER_S
    named = NamedLimit(
        requests_per_s=limit_per_s,
        asked_ms=asked_ms,
        heard_ms=get_boottime_ms(),
    )
    _note_named(context, instance, named)


def tell_limits(context: GatewayContext) -> dict[str, LimitNews]:
    """Return what another gateway is to be told of limits now."""
    now_ms = get_boottime_ms()
    told = context.throttle.named_limits.choose_told(now_ms)
    return {
        incarnation: make_limit_news(named, now_ms)
        for incarnation, named in told.items()
    }


def hear_limits(
    context: GatewayContext,
    news: Mapping[str, LimitNews],
    sent_after_ms: float,
) -> None:
    """
    Take what another gateway tells of limits.

    Parameters
    ----------
    context : GatewayContext
        Of this process.
    news : mapping of str to LimitNews
        What it tells, by incarnation.
    sent_after_ms : float
        Moment before it told so, on the clock that counts suspended time.
    """
    now_ms = get_boottime_ms()
    for incarnation, one in news.items():
        named = read_limit_news(
            one,
            sent_after_ms=sent_after_ms,
            now_ms=now_ms,
        )
        if context.throttle.named_limits.note_heard(incarnation, named):
            context.metrics.count_event('instance_limit_heard')
            log_event(
                'instance_limit_heard',
                step=_STEP,
                peer=incarnation,
                limit_per_s=one.requests_per_s,
                age_ms=round(one.heard_age_ms),
            )


def _note_named(
    context: GatewayContext,
    instance: UpstreamInstance,
    named: NamedLimit,
) -> None:
    limits = context.throttle.named_limits
    if not limits.note(instance.get_incarnation(), named):
        return
    context.metrics.count_event('instance_named_limit')
    log_event(
        'instance_named_limit',
        step=_STEP,
        peer=instance.instance,
        started_unix_ms=instance.started_unix_ms,
        pool=instance.pool,
        limit_per_s=named.requests_per_s if named.is_limit() else None,
        answer_ms=round(named.heard_ms - named.asked_ms),
    )


def _note_unreadable(
    context: GatewayContext,
    instance: UpstreamInstance,
    marks: AnswerMarks,
) -> None:
    context.metrics.count_event('instance_limit_unreadable')
    log_event(
        'instance_limit_unreadable',
        step=_STEP,
        peer=instance.instance,
        pool=instance.pool,
        found=marks.unreadable_limit,
        limit_per_s=marks.limit_per_s,
    )
