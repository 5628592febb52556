"""Define the parts of a transaction."""

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, kw_only=True, slots=True)
class Compare:
    """
    Require a revision of a key.

    Attributes
    ----------
    key : str
        The key.
    target : str
        Which of its revisions is compared.
    revision : int
        What it must be; 0 means that the key is absent.
    """

    key: str
    target: Literal['mod', 'create'] = 'mod'
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
