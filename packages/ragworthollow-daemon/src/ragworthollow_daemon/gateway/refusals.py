"""Build responses for refused and failed requests."""

import math
import random

from aiohttp import web

from ragworthollow.conf import global_settings
from ragworthollow.outcomes import Outcome, Reason
from ragworthollow.transport.responses import respond
from ragworthollow.utils.message import Message
from ragworthollow_daemon.gateway.upstream_failure import UpstreamFailure

_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_TIMEOUTS = frozenset((Reason.attempt_timeout, Reason.deadline_exceeded))
_CALLER_STATUSES = {
    Reason.bad_request: 400,
    Reason.unauthorized: 401,
    Reason.unknown_route: 404,
    Reason.body_too_slow: 408,
    Reason.body_too_large: 413,
}


class RefusalBody(Message):
    """
    Describe a failure to a caller.

    Attributes
    ----------
    outcome : Outcome
        Whether the request may have run.
    reason : Reason
        Cause of the failure.
    """

    outcome: Outcome
    reason: Reason


def get_status(failure: UpstreamFailure) -> int:
    """
    Return the HTTP status for a failure.

    503 guarantees that the request has not run and never will.  Requests
    that may have run are answered with 502 or 504, which guarantee nothing.
    """
    status = _CALLER_STATUSES.get(failure.reason)
    if status is not None:
        return status
    if failure.outcome is Outcome.not_run:
        return _UNAVAILABLE
    if failure.reason in _TIMEOUTS:
        return _GATEWAY_TIMEOUT
    return _BAD_GATEWAY


def refuse(failure: UpstreamFailure, rng: random.Random) -> web.Response:
    """
    Build the response that reports a failure.

    Parameters
    ----------
    failure : UpstreamFailure
        The failure to report.
    rng : Random
        Source of the jitter in ``Retry-After``, which keeps callers that
        were refused together from retrying together.
    """
    status = get_status(failure)
    response = respond(
        RefusalBody(outcome=failure.outcome, reason=failure.reason),
        status=status,
    )
    if status == _UNAVAILABLE:
        wait_ms = failure.retry_after_ms
        if wait_ms is None or math.isinf(wait_ms):
            wait_ms = global_settings.GATEWAY_RETRY_AFTER_MS
        jitter = 1 + rng.random() * global_settings.RETRY_AFTER_JITTER
        response.headers['Retry-After'] = f'{wait_ms * jitter / 1000:.3f}'
    return response
