"""Order the states of the store."""

from dataclasses import dataclass

# Maximum number of revisions per timeline in a number that encodes both.
_REVISIONS_PER_TIMELINE = 2**40


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class StorePosition:
    """
    Identify a state of the store or a change of a key, in their total order.

    A store that is restored from a backup returns to an earlier revision and
    assigns the later revisions again: a revision is meaningless without its
    timeline.

    Attributes
    ----------
    timeline : int
        Restore count of the store at that time.
    revision : int
        Number of the change in that timeline; 0 before any.
    """

    timeline: int = 0
    revision: int = 0

    def to_number(self) -> int:
        """Return a number that increases with each change and restoration."""
        return self.timeline * _REVISIONS_PER_TIMELINE + self.revision
