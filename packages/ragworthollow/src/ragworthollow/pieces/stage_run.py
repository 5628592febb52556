"""Track the pieces of one stage of one request at a gate."""

from dataclasses import dataclass


@dataclass(kw_only=True, slots=True)
class StageRun:
    """
    Know when all pieces of a stage have read their inputs.

    Every piece of a stage reads all results of the stages before it, so
    that these can be freed once the last piece has begun.  Waiting for its
    end instead keeps them for a whole call longer, and space for results is
    what limits how full the calls of the earlier stage can be.

    Attributes
    ----------
    inputs : tuple of str
        Results that only this stage reads; empty when others read them.
    unread : int
        Pieces that have not begun.
    is_begun : bool
        Whether any piece has been given to an instance.
    """

    inputs: tuple[str, ...]
    unread: int
    is_begun: bool = False

    def note_read(self) -> tuple[str, ...]:
        """Note that one piece has read; return what is no longer needed."""
        self.unread -= 1
        return () if self.unread else self.inputs
