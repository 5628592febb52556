"""Decode which failure domains the operators have drained."""

from collections.abc import Iterable

DRAINS_PREFIX = 'op/evacuate/'


def read_drained_domains(keys: Iterable[str]) -> frozenset[str]:
    """
    Return the failure domains whose instances are to get nothing.

    The key alone says it.  A value that cannot be read takes nothing back:
    the operators remove the key when the domain may get work again.

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
