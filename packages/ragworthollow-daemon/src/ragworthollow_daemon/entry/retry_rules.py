"""Decide whether a call that has not run may be tried elsewhere."""

from ragworthollow.conf import global_settings
from ragworthollow.outcomes import Reason
from ragworthollow_daemon.entry.stage_work import StageWork

# Nothing has run and another instance may well do it.
_ELSEWHERE = frozenset(
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
# The instance is busy; the pool as a whole may be.
_BUSY = frozenset(
    (Reason.overloaded, Reason.shed, Reason.deadline_too_short),
)


def may_go_elsewhere(work: StageWork, reason: Reason) -> bool:
    """Tell whether a call that has not run may be tried elsewhere for free."""
    if reason in _BUSY:
        # Further knocking would only add to the load of a pool that is busy
        # as a whole.
        work.busy_refusals += 1
        return work.busy_refusals < global_settings.OVERLOAD_RETRIES
    if reason not in _ELSEWHERE:
        return False
    if work.is_keyed_once():
        return True
    return work.attempts < global_settings.MAX_ATTEMPTS
