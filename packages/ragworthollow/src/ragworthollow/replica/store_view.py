"""Keep a copy of the store's keys."""

from collections.abc import Mapping
from operator import itemgetter

from ragworthollow.conf import global_settings
from ragworthollow.platform.store_changes import StoreChanges
from ragworthollow.platform.store_position import StorePosition
from ragworthollow.platform.store_snapshot import StoreSnapshot
from ragworthollow.platform.stored import Stored


class StoreView:
    """
    Hold all keys as they were at a revision of the store.

    Attributes
    ----------
    found : mapping of str to Stored
        All keys.
    revision : int
        Changes after it are not in the copy yet; 0 before the first snapshot.
    timeline : int
        How often the store had been restored.
    size_bytes : int
        Size of the last snapshot as it was sent.
    """

    def __init__(self) -> None:
        self._found: dict[str, Stored] = {}
        # Removed keys by the revision of their removal, for those that ask
        # what has changed; complete after `_removed_from`.
        self._removed: dict[str, int] = {}
        self._removed_from = 0
        self.revision = 0
        self.timeline = 0
        self.size_bytes = 0

    @property
    def found(self) -> Mapping[str, Stored]:
        """Return all keys."""
        return self._found

    def get_position(self) -> StorePosition:
        """Return the position of the state that is held."""
        return StorePosition(timeline=self.timeline, revision=self.revision)

    def get_removed(self) -> Mapping[str, int]:
        """Return at which revision keys were removed, as far as is known."""
        return self._removed

    def replace(self, snapshot: StoreSnapshot) -> None:
        """
        Take all keys anew.

        A read of everything takes a while, in which another gateway may have
        told of something newer; the older state does not replace it.
        """
        if snapshot.get_position() < self.get_position():
            return
        if snapshot.timeline != self.timeline:
            # Revisions of before say nothing in this timeline.
            self._removed = {}
            self._removed_from = snapshot.revision
        elif self.revision:
            gone = self._found.keys() - snapshot.found.keys()
            self._note_removed(dict.fromkeys(gone, snapshot.revision))
        else:
            self._removed_from = snapshot.revision
        self._found = dict(snapshot.found)
        self.revision = snapshot.revision
        self.timeline = snapshot.timeline
        self.size_bytes = snapshot.size_bytes

    def apply(self, changes: StoreChanges) -> None:
        """
        Take what has changed.

        The pages of a snapshot are read one after the other, so that a change
        may be in it already; an older one never replaces a newer one.  What
        another gateway tells may have been overtaken by the store's own
        answer: a key that was removed meanwhile must not come back.

        Parameters
        ----------
        changes : StoreChanges
            Everything after `revision`, or after an earlier one, of the same
            timeline; others are not taken.
        """
        if changes.timeline != self.timeline:
            return
        written = {
            key: stored
            for key, stored in changes.written.items()
            if self._is_new(key, stored.mod_revision)
        }
        self._found.update(written)
        removed = {
            key: revision
            for key, revision in changes.removed.items()
            if self._is_new(key, revision)
        }
        for key in removed:
            self._found.pop(key, None)
        self._note_removed(removed)
        self.revision = max(self.revision, changes.revision)

    def find_changes(self, after: StorePosition) -> StoreChanges | None:
        """
        Return what has changed after a position.

        Returns
        -------
        StoreChanges or None
            None where removals that far back are no longer known, and for
            another timeline.
        """
        after_revision = after.revision
        if after.timeline != self.timeline:
            return None
        if after_revision < self._removed_from:
            return None
        # Most that ask know everything; hundreds ask several times a second.
        if after_revision >= self.revision:
            return StoreChanges(
                written={},
                removed={},
                revision=self.revision,
                is_whole=True,
                timeline=self.timeline,
            )
        return StoreChanges(
            written={
                key: stored
                for key, stored in self._found.items()
                if stored.mod_revision > after_revision
            },
            removed={
                key: revision
                for key, revision in self._removed.items()
                if revision > after_revision
            },
            revision=self.revision,
            is_whole=True,
            timeline=self.timeline,
        )

    def _note_removed(self, removed: Mapping[str, int]) -> None:
        self._removed.update(removed)
        excess = len(self._removed) - global_settings.REMOVED_KEYS_KEPT
        if excess <= 0:
            return
        by_age = sorted(self._removed.items(), key=itemgetter(1))
        self._removed_from = by_age[excess - 1][1]
        self._removed = dict(by_age[excess:])

    def _is_new(self, key: str, revision: int) -> bool:
        """Tell whether a change of a key is not in the copy yet."""
        held = self._found.get(key, Stored()).mod_revision
        return revision > max(self.revision, held)
