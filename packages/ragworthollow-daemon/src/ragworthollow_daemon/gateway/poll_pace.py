"""Decide when the store is asked again."""

from ragworthollow.conf import global_settings

_DOUBLINGS = 8


def get_retry_ms(failures: int, longest_ms: float) -> float:
    """
    Return the pause before the next try of a call that has failed.

    The first failure is followed by another try at once, since a call that
    was lost right before a change would delay that change by a whole
    interval; further ones back off, since refused calls are counted too.

    Parameters
    ----------
    failures : int
        Tries that have failed in a row, one at least.
    longest_ms : float
        Longest pause: the end of an outage has to be noticed in time.
    """
    doublings = min(failures - 1, _DOUBLINGS)
    return min(longest_ms, global_settings.STORE_RETRY_MS * 2**doublings)
