"""Define the parts of a transaction."""

from dataclasses import dataclass

from ragworthollow.platform.stored import Stored


@dataclass(frozen=True, kw_only=True, slots=True)
class Compare:
    """
    Require a key to be unchanged since it was read.

    Attributes
    ----------
    key : str
        The key.
    revision : int
        Required revision of its last change; 0 if the key must be absent.
    timeline : int
        Restore count of the store when the key was read: values read before a
        later restoration are invalid.
    """

    key: str
    revision: int = 0
    timeline: int = 0


def compare_with(key: str, stored: Stored) -> Compare:
    """Make a comparison that requires a key to be as it was read."""
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
        Lease whose expiry deletes the key; 0 for none.
    """

    key: str
    text: str
    lease: int = 0
