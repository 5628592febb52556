"""Order the states of the store."""

from dataclasses import dataclass

# Revisions of one timeline, in a number that holds both.
_REVISIONS = 2**40


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class StorePosition:
    """
    Place a state of the store, or a change of a key, among all others.

    A store that is restored from a copy goes back to an earlier revision and
    gives the later ones out again: a revision says nothing without its
    timeline.

    Attributes
    ----------
    timeline : int
        How often the store had been restored by then.
    revision : int
        Number of the change in that timeline; 0 before any.
    """

    timeline: int = 0
    revision: int = 0

    def to_number(self) -> int:
        """Return a number that grows with each change, restored or not."""
        return self.timeline * _REVISIONS + self.revision
