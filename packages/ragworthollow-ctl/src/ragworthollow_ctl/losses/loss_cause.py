"""Determine why a request was not served."""

import enum
from http import HTTPStatus

from ragworthollow.outcomes import Reason
from ragworthollow_ctl.losses.log_line import LogLine


class LossCause(enum.StrEnum):
    """
    Enumerate the causes for which requests are not served.

    Attributes
    ----------
    refused_at_door
        On arrival, the request could be served neither within its latency
        objective nor later.
    refused_in_stages
        It was admitted, but a pool of one of its stages could not finish its
        pieces in time.
    pieces_failed
        Pieces of a stage failed, or their inputs were lost.
    process_unready
        The gateway was starting, shutting down or knew no instance.
    domain_drained
        Every instance of a pool was in a failure domain that was drained.
    warming_up
        Every instance of a pool was warming up and had received as many
        requests as it can handle meanwhile.
    rate_limited
        Every instance of a pool had reached the request rate that it
        advertises.
    upstream_error
        The upstream responded with an error or a refusal.
    upstream_silent
        The upstream did not respond within the time limit.
    connection_broken
        The connection to the upstream failed or was lost, or its response was
        incomplete or mismatched.
    caller_left
        The caller disconnected, or the process terminated, before the response
        was complete.
    other
        Any other cause.
    """

    refused_at_door = 'refused at the door'
    refused_in_stages = 'refused in the stages'
    pieces_failed = 'pieces failed'
    process_unready = 'process not ready'
    domain_drained = 'failure domain drained'
    warming_up = 'instances warming up'
    rate_limited = 'instances naming a limit'
    upstream_error = 'upstream error'
    upstream_silent = 'upstream silent'
    connection_broken = 'connection broken'
    caller_left = 'caller left'
    other = 'other'


_FRONT_STEP = 'front'
_CAUSES_BY_REASON = {
    Reason.stage_late: LossCause.refused_in_stages,
    Reason.stage_failed: LossCause.pieces_failed,
    Reason.inputs_gone: LossCause.pieces_failed,
    Reason.not_configured: LossCause.process_unready,
    Reason.draining: LossCause.process_unready,
    Reason.no_instance: LossCause.process_unready,
    Reason.version_unknown: LossCause.process_unready,
    Reason.domain_drained: LossCause.domain_drained,
    Reason.warming_up: LossCause.warming_up,
    Reason.rate_limited: LossCause.rate_limited,
    Reason.upstream_full: LossCause.upstream_error,
    Reason.upstream_error: LossCause.upstream_error,
    Reason.misdirected: LossCause.upstream_error,
    Reason.attempt_timeout: LossCause.upstream_silent,
    Reason.deadline_exceeded: LossCause.upstream_silent,
    Reason.connect_failed: LossCause.connection_broken,
    Reason.connection_lost: LossCause.connection_broken,
    Reason.truncated: LossCause.connection_broken,
    Reason.events_out_of_order: LossCause.upstream_error,
    Reason.mismatched_answer: LossCause.connection_broken,
}
_CALLER_ERRORS = (
    Reason.unauthorized,
    Reason.unknown_route,
    Reason.body_too_large,
    Reason.body_too_slow,
)


def is_eligible(line: LogLine) -> bool:
    """Return whether the request should have been served."""
    return line.reason not in _CALLER_ERRORS


def find_cause(line: LogLine) -> LossCause | None:
    """
    Return why a request was not served.

    Parameters
    ----------
    line : LogLine
        Log line of the end of the request.

    Returns
    -------
    LossCause or None
        None if the request was served.
    """
    if line.event == 'request_abandoned':
        return LossCause.caller_left
    if line.event == 'stream_broken':
        return LossCause.connection_broken
    if line.reason is None:
        is_error = line.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        return LossCause.upstream_error if is_error else None
    if line.reason == Reason.overloaded:
        is_at_front = line.step == _FRONT_STEP
        return (
            LossCause.refused_at_door
            if is_at_front
            else LossCause.refused_in_stages
        )
    return _CAUSES_BY_REASON.get(line.reason, LossCause.other)
