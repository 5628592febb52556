"""Define the parts of a transaction."""

from dataclasses import dataclass

from ragworthollow.platform.stored import Stored


@dataclass(frozen=True, kw_only=True, slots=True)
class Compare:
    """
    Require a key to be as it was last read.

    Attributes
    ----------
    key : str
        The key.
    revision : int
        What its last change must be; 0 means that the key is absent.
    timeline : int
        How often the store had been restored when it was read: what was read
        before does not hold any more.
    """

    key: str
    revision: int = 0
    timeline: int = 0


def compare_with(key: str, stored: Stored) -> Compare:
    """Require a key to be as it was read."""
    return Compare(
        key=key,
        revision=stored.mod_revision,
        timeline=stored.timeline,
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class Put:
    """
    Write a key.

    Attributes
    ----------
    key, text : str
        The key and its new value.
    lease : int
        Lease whose end deletes the key; 0 for none.
    """

    key: str
    text: str
    lease: int = 0
