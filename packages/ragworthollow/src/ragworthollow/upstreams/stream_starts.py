"""Decide at which software versions streams may begin."""

from collections.abc import Collection

from ragworthollow.conf import global_settings
from ragworthollow.upstreams.directory import Directory


def list_starting_versions(
    directory: Directory, pool: str, now_ms: float, propagation_ms: float
) -> Collection[str]:
    """
    Return the versions at which streams that may be resumed may begin.

    A gateway that does not know of a version yet would resume its streams at
    another one.  So streams begin at versions that all gateways know, and
    while none of these serves, at those that the store tells.

    Parameters
    ----------
    directory : Directory
        What this gateway knows of the instances.
    pool : str
        The pool.
    now_ms : float
        Time on the monotonic clock.
    propagation_ms : float
        Time in which all gateways learn of a change of the store.
    """
    serving = frozenset(
        instance.software_version for instance in directory.get_pool(pool)
    )
    recorded = directory.recorded_versions.get(pool)
    if recorded is None:
        # The store cannot be written, or has been for a moment only.
        settled = directory.versions.list_settled(pool, now_ms - propagation_ms)
        return serving & settled or serving
    for known in (recorded.settled, recorded.announced):
        if not serving.isdisjoint(known):
            return serving.intersection(known)
    return serving & directory.versions.list_settled(
        pool, now_ms - global_settings.UNRECORDED_VERSION_WAIT_MS
    )
