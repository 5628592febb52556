"""Decode the failure domains that the operators have drained."""

from collections.abc import Iterable

DRAINS_PREFIX = 'op/evacuate/'


def read_drained_domains(keys: Iterable[str]) -> frozenset[str]:
    """
    Return the failure domains whose instances must not get any requests.

    The presence of the key decides.  A value that cannot be read does not
    cancel the drain: the operators delete the key when the domain may get work
    again.

    Parameters
    ----------
    keys : iterable of str
        All keys of the store.
    """
    return frozenset(
        key.removeprefix(DRAINS_PREFIX)
        for key in keys
        if key.startswith(DRAINS_PREFIX) and key != DRAINS_PREFIX
    )
