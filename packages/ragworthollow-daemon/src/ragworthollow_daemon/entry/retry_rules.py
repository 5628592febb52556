"""Decide whether a call that has not run may be retried elsewhere."""

from ragworthollow.conf import global_settings
from ragworthollow.outcomes import Reason
from ragworthollow_daemon.entry.stage_work import StageWork

# The call has not run, and another instance may be able to run it.
_RETRYABLE = frozenset(
    (
        Reason.connect_failed,
        Reason.leaving,
        Reason.draining,
        Reason.not_owner,
        Reason.not_configured,
        Reason.model_not_loaded,
        Reason.no_instance,
        Reason.ownership_unsure,
    ),
)
# The instance is busy, and possibly the whole pool.
_OVERLOAD = frozenset(
    (Reason.overloaded, Reason.shed, Reason.deadline_too_short),
)


def may_retry_elsewhere(work: StageWork, reason: Reason) -> bool:
    """
    Return whether to retry a call that has not run on another instance.

    Such a retry does not draw on the retry budget.
    """
    if reason in _OVERLOAD:
        # Further retries would only add load when the whole pool is busy.
        work.busy_refusals += 1
        return work.busy_refusals < global_settings.OVERLOAD_RETRIES
    if reason not in _RETRYABLE:
        return False
    if work.is_keyed_once():
        return True
    return work.attempts < global_settings.MAX_ATTEMPTS
