"""Define the result of a read of changes."""

from collections.abc import Mapping
from dataclasses import dataclass

from ragworthollow.platform.stored import Stored


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreChanges:
    """
    Hold the keys that changed after a revision.

    Attributes
    ----------
    written : mapping of str to Stored
        New values of the keys that exist now, by key.
    removed : mapping of str to int
        Revisions at which keys were removed, by key.
    revision : int
        Revision of the last change; the requested revision if nothing changed.
    is_complete : bool
        Whether the store has no later revision.  A watch may miss changes; the
        revision of the store is then ahead of the last change that the watch
        has received.
    timeline : int
        Restore count of the store at the time of the read.
    """

    written: Mapping[str, Stored]
    removed: Mapping[str, int]
    revision: int
    is_complete: bool
    timeline: int = 0
