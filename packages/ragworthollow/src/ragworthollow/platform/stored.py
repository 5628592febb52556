"""Define the stored state of a key."""

from dataclasses import dataclass

from ragworthollow.platform.store_position import StorePosition


@dataclass(frozen=True, kw_only=True, slots=True)
class Stored:
    """
    Hold the value and the revisions of one key.

    Attributes
    ----------
    text : str
        The decoded value; empty if the key is absent.
    mod_revision, create_revision : int
        Revisions of its last change and its creation; 0 if it is absent.
    read_revision : int
        Revision of the store at which it was read.
    timeline : int
        Restore count of the store when it was read.
    """

    text: str = ''
    mod_revision: int = 0
    create_revision: int = 0
    read_revision: int = 0
    timeline: int = 0

    def get_position(self) -> StorePosition:
        """Return the position of its last change at the time of the read."""
        return StorePosition(
            timeline=self.timeline,
            revision=self.mod_revision,
        )

    def is_same_write(self, other: 'Stored') -> bool:
        """Return whether both result from the same write."""
        return (self.mod_revision, self.text) == (
            other.mod_revision,
            other.text,
        )
