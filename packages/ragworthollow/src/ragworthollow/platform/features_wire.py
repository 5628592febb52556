"""Decode which features the platform declares to be needed."""

import enum
from collections.abc import Iterable

_CALLERS_COMPETE = 'pressure'


class Feature(enum.StrEnum):
    """
    Name the features that only some installations need.

    Attributes
    ----------
    scarce_result_space
        Stage work takes space for results as late and for as short as possible:
        callers compete for more of it than there is.
    """

    scarce_result_space = 'scarce_result_space'


_FEATURES = {
    _CALLERS_COMPETE: Feature.scarce_result_space,
}


def read_features(contracts: Iterable[str]) -> frozenset[Feature]:
    """
    Return the features that an installation calls for.

    Parameters
    ----------
    contracts : iterable of str
        Names of the contracts in force, as in the platform's settings; names
        that are not known call for nothing.
    """
    return frozenset(
        _FEATURES[contract] for contract in contracts if contract in _FEATURES
    )
