"""Define what one gateway tells another of the store."""

from ragworthollow.platform.store_position import StorePosition
from ragworthollow.utils.message import Message


class NewsKey(Message):
    """
    Tell of a key that was written.

    Attributes
    ----------
    key : str
        The key.
    text : str
        Its value.
    revision, created : int
        Of its last change and its creation.
    """

    key: str
    text: str
    revision: int
    created: int = 0


class RetainedKey(Message):
    """
    Tell of a key that holds although the store has lost it.

    Attributes
    ----------
    key : str
        The key.
    text : str or None
        Its value; None for one that was removed.
    left_ms : float
        For how long it holds unless it is written again.
    """

    key: str
    text: str | None
    left_ms: float


class StoreNews(Message):
    """
    Tell what was the newest state of the store, and how long ago.

    Attributes
    ----------
    revision : int
        Revision up to which the teller knows everything.
    age_ms : float
        How long ago the store held nothing newer.
    is_complete : bool
        Whether the changes lead from the revision that was asked about to
        `revision`.  Large ones are left out where many ask: they come from
        the store, whose link is wider.
    is_snapshot : bool
        Whether `written` holds all keys.
    written : tuple of NewsKey
        Keys that were written.
    removed : dict of str to int
        Revision at which a key was removed, by key.
    timeline : int
        How often the store had been restored.
    retained : tuple of RetainedKey
        Keys that hold although the store has lost what was written to them;
        told to those that ask for everything.
    """

    revision: int
    age_ms: float
    is_complete: bool = False
    is_snapshot: bool = False
    written: tuple[NewsKey, ...] = ()
    removed: dict[str, int] = {}
    timeline: int = 0
    retained: tuple[RetainedKey, ...] = ()

    def get_position(self) -> StorePosition:
        """Return the position up to which the teller knows everything."""
        return StorePosition(timeline=self.timeline, revision=self.revision)


class NewsQuestion(Message):
    """
    Ask for everything that changed after a revision.

    Attributes
    ----------
    after_revision : int
        Up to which the asker knows everything; 0 for nothing.
    timeline : int
        How often the store had been restored by then.
    """

    after_revision: int = 0
    timeline: int = 0

    def get_position(self) -> StorePosition:
        """Return the position up to which the asker knows everything."""
        return StorePosition(
            timeline=self.timeline,
            revision=self.after_revision,
        )
