"""Keep a local copy of the store's keys."""

from collections.abc import Mapping
from operator import itemgetter

from ragworthollow.conf import global_settings
from ragworthollow.platform.store_changes import StoreChanges
from ragworthollow.platform.store_position import StorePosition
from ragworthollow.platform.store_snapshot import StoreSnapshot
from ragworthollow.platform.stored import Stored


class StoreView:
    """
    Hold all keys as they were at one revision of the store.

    Attributes
    ----------
    entries : mapping of str to Stored
        All entries by key.
    revision : int
        Revision up to which changes have been applied; 0 before the first
        snapshot.
    timeline : int
        Number of times that the store had been restored.
    size_bytes : int
        Size of the last snapshot as transferred.
    """

    def __init__(self) -> None:
        self._entries: dict[str, Stored] = {}
        # Revision of removal by key, to report removals to peers; complete
        # for revisions after `_removals_known_after`.
        self._removed: dict[str, int] = {}
        self._removals_known_after = 0
        self.revision = 0
        self.timeline = 0
        self.size_bytes = 0

    @property
    def entries(self) -> Mapping[str, Stored]:
        """Return all entries by key."""
        return self._entries

    def get_position(self) -> StorePosition:
        """Return the position of this copy."""
        return StorePosition(timeline=self.timeline, revision=self.revision)

    def get_removed(self) -> Mapping[str, int]:
        """Return the revision of each removal that is still remembered."""
        return self._removed

    def replace(self, snapshot: StoreSnapshot) -> None:
        """
        Replace the copy with a snapshot, unless the snapshot is older.

        While a full read is in progress, a peer may have sent a newer state,
        which the result of that read must not overwrite.
        """
        if snapshot.get_position() < self.get_position():
            return
        if snapshot.timeline != self.timeline:
            # Revisions are not comparable across timelines.
            self._removed = {}
            self._removals_known_after = snapshot.revision
        elif self.revision:
            missing = self._entries.keys() - snapshot.entries.keys()
            self._record_removed(dict.fromkeys(missing, snapshot.revision))
        else:
            self._removals_known_after = snapshot.revision
        self._entries = dict(snapshot.entries)
        self.revision = snapshot.revision
        self.timeline = snapshot.timeline
        self.size_bytes = snapshot.size_bytes

    def apply(self, changes: StoreChanges) -> None:
        """
        Apply changes, except those that the copy already contains.

        The pages of a snapshot are read one after the other, so the snapshot
        may already include a later change; an older value never replaces a
        newer one.  An update from a peer may arrive after a newer response of
        the store: a key that was removed in between must not reappear.

        Parameters
        ----------
        changes : StoreChanges
            All changes after `revision` or an earlier revision.  Changes of
            another timeline are ignored.
        """
        if changes.timeline != self.timeline:
            return
        written = {
            key: stored
            for key, stored in changes.written.items()
            if self._is_new(key, stored.mod_revision)
        }
        self._entries.update(written)
        removed = {
            key: revision
            for key, revision in changes.removed.items()
            if self._is_new(key, revision)
        }
        for key in removed:
            self._entries.pop(key, None)
        self._record_removed(removed)
        self.revision = max(self.revision, changes.revision)

    def find_changes(self, after: StorePosition) -> StoreChanges | None:
        """
        Return all changes after a position.

        Returns
        -------
        StoreChanges or None
            None if removals that far back are no longer remembered, or if the
            position belongs to another timeline.
        """
        after_revision = after.revision
        if after.timeline != self.timeline:
            return None
        if after_revision < self._removals_known_after:
            return None
        # Fast path: most of the hundreds of peers that ask, several times a
        # second, are up to date.
        if after_revision >= self.revision:
            return StoreChanges(
                written={},
                removed={},
                revision=self.revision,
                is_complete=True,
                timeline=self.timeline,
            )
        return StoreChanges(
            written={
                key: stored
                for key, stored in self._entries.items()
                if stored.mod_revision > after_revision
            },
            removed={
                key: revision
                for key, revision in self._removed.items()
                if revision > after_revision
            },
            revision=self.revision,
            is_complete=True,
            timeline=self.timeline,
        )

    def _record_removed(self, removed: Mapping[str, int]) -> None:
        self._removed.update(removed)
        excess = len(self._removed) - global_settings.MAX_REMOVED_KEYS
        if excess <= 0:
            return
        by_revision = sorted(self._removed.items(), key=itemgetter(1))
        self._removals_known_after = by_revision[excess - 1][1]
        self._removed = dict(by_revision[excess:])

    def _is_new(self, key: str, revision: int) -> bool:
        """Return whether a change of a key is missing from the copy."""
        known_revision = self._entries.get(key, Stored()).mod_revision
        return revision > max(self.revision, known_revision)
