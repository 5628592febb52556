"""Compute the delay before a failed read of the store is retried."""

from ragworthollow.conf import global_settings

_MAX_DOUBLINGS = 8


def get_retry_delay_ms(failures: int, max_ms: float) -> float:
    """
    Return the delay before a failed call is retried, in milliseconds.

    After the first failure the call is retried almost at once, since a call
    that fails right before a change would delay that change by a whole
    polling interval.  Further failures back off exponentially, since refused
    calls are also counted as calls to the store.

    Parameters
    ----------
    failures : int
        Number of consecutive failures, at least one.
    max_ms : float
        Maximum delay, which limits how late the end of an outage is noticed.
    """
    doublings = min(failures - 1, _MAX_DOUBLINGS)
    return min(max_ms, global_settings.STORE_RETRY_MS * 2**doublings)
