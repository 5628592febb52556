"""Define what a read of changes returns."""

from collections.abc import Mapping
from dataclasses import dataclass

from ragworthollow.platform.stored import Stored


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreChanges:
    """
    Hold what became of the keys that changed after a revision.

    Attributes
    ----------
    written : mapping of str to Stored
        Keys that are there now, by key.
    removed : mapping of str to int
        Revision at which a key was removed, by key.
    revision : int
        Of the last change; that of the question where nothing changed.
    is_whole : bool
        Whether the store has come no further than this.  A watch may hear
        nothing while changes are made; the revision of the store then runs
        ahead of the last change that was heard.
    timeline : int
        How often the store had been restored.
    """

    written: Mapping[str, Stored]
    removed: Mapping[str, int]
    revision: int
    is_whole: bool
    timeline: int = 0
