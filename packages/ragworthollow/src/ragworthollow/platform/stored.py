"""Define a key as the service stores it."""

from dataclasses import dataclass

from ragworthollow.platform.store_position import StorePosition


@dataclass(frozen=True, kw_only=True, slots=True)
class Stored:
    """
    Hold one key as stored.

    Attributes
    ----------
    text : str
        The value, decoded; empty when the key is absent.
    mod_revision, create_revision : int
        Revisions of its last change and its creation; 0 when absent.
    read_revision : int
        Revision of the whole store at which it was read.
    timeline : int
        How often the store had been restored when it was read.
    """

    text: str = ''
    mod_revision: int = 0
    create_revision: int = 0
    read_revision: int = 0
    timeline: int = 0

    def get_position(self) -> StorePosition:
        """Return the position of its last change, as of when it was read."""
        return StorePosition(
            timeline=self.timeline,
            revision=self.mod_revision,
        )

    def is_same_write(self, other: 'Stored') -> bool:
        """Tell whether both are the outcome of the same write."""
        return (self.mod_revision, self.text) == (
            other.mod_revision,
            other.text,
        )
