"""Define the result of a read of all keys."""

from collections.abc import Mapping
from dataclasses import dataclass

from ragworthollow.platform.store_position import StorePosition
from ragworthollow.platform.stored import Stored


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreSnapshot:
    """
    Hold all keys under a prefix.

    Attributes
    ----------
    entries : mapping of str to Stored
        Stored values, by key.
    revision : int
        Revision of the store when the first page was read.  Later pages may
        hold newer values; changes after this revision have to be watched.
    size_bytes : int
        Total size of the response bodies.
    timeline : int
        Restore count of the store at the time of the read.
    """

    entries: Mapping[str, Stored]
    revision: int
    size_bytes: int
    timeline: int = 0

    def get_position(self) -> StorePosition:
        """Return the position of the state that the snapshot holds."""
        return StorePosition(timeline=self.timeline, revision=self.revision)
