"""Define what a read of all keys returns."""

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
    found : mapping of str to Stored
        By key.
    revision : int
        Of the store when the first page was read.  Later pages may hold
        newer keys; changes after this revision have to be followed.
    size_bytes : int
        Bytes of the answers that carried it.
    timeline : int
        How often the store had been restored.
    """

    found: Mapping[str, Stored]
    revision: int
    size_bytes: int
    timeline: int = 0

    def get_position(self) -> StorePosition:
        """Return the position of the state that it holds."""
        return StorePosition(timeline=self.timeline, revision=self.revision)
