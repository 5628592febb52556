"""Define the parts of a transaction."""

from dataclasses import dataclass


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
    """

    key: str
    revision: int = 0


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
