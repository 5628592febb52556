"""Define the messages in which gateways exchange updates of the store."""

from ragworthollow.platform.store_position import StorePosition
from ragworthollow.utils.message import Message


class UpdatedKey(Message):
    """
    Describe a key that was written.

    Attributes
    ----------
    key : str
        The key.
    text : str
        Its value.
    revision, created : int
        Revisions of its last change and of its creation.
    """

    key: str
    text: str
    revision: int
    created: int = 0


class RetainedKey(Message):
    """
    Describe a key that stays active although the store has lost it.

    Attributes
    ----------
    key : str
        The key.
    text : str or None
        Its value; None for a key that was removed.
    left_ms : float
        Remaining time, in milliseconds, for which it stays active unless it
        is written again.
    """

    key: str
    text: str | None
    left_ms: float


class StoreUpdate(Message):
    """
    Carry the latest known state of the store, and its age.

    Attributes
    ----------
    revision : int
        Revision up to which the sender knows all changes.
    age_ms : float
        Time, in milliseconds, since this state was known to be up to date.
    is_complete : bool
        Whether the changes lead from the requested revision to `revision`.
        Large changes are left out of responses that many peers request:
        receivers get them from the store, whose link is wider.
    is_snapshot : bool
        Whether `written` holds all keys.
    written : tuple of UpdatedKey
        Keys that were written.
    removed : dict of str to int
        Revision at which a key was removed, by key.
    timeline : int
        Number of times that the store had been restored.
    retained : tuple of RetainedKey
        Keys that stay active although the store has lost what was written
        to them; sent in responses to update requests, not to pings.
    """

    revision: int
    age_ms: float
    is_complete: bool = False
    is_snapshot: bool = False
    written: tuple[UpdatedKey, ...] = ()
    removed: dict[str, int] = {}
    timeline: int = 0
    retained: tuple[RetainedKey, ...] = ()

    def get_position(self) -> StorePosition:
        """Return the position up to which the sender knows all changes."""
        return StorePosition(timeline=self.timeline, revision=self.revision)


class UpdateRequest(Message):
    """
    Request all changes after a revision.

    Attributes
    ----------
    after_revision : int
        Revision up to which the requester knows all changes; 0 for none.
    timeline : int
        Number of times that the store had been restored at that revision.
    """

    after_revision: int = 0
    timeline: int = 0

    def get_position(self) -> StorePosition:
        """Return the position up to which the requester knows all changes."""
        return StorePosition(
            timeline=self.timeline,
            revision=self.after_revision,
        )
