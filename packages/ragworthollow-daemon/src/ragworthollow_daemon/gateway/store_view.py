"""Keep a copy of the store's keys."""

from collections.abc import Mapping

from ragworthollow.platform.store_changes import StoreChanges
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
    size_bytes : int
        Size of the last snapshot as it was sent.
    """

    def __init__(self) -> None:
        self._found: dict[str, Stored] = {}
        self.revision = 0
        self.size_bytes = 0

    @property
    def found(self) -> Mapping[str, Stored]:
        """Return all keys."""
        return self._found

    def replace(self, snapshot: StoreSnapshot) -> None:
        """Take all keys anew."""
        self._found = dict(snapshot.found)
        self.revision = snapshot.revision
        self.size_bytes = snapshot.size_bytes

    def apply(self, changes: StoreChanges) -> None:
        """
        Take what has changed.

        The pages of a snapshot are read one after the other, so that a change
        may be in it already; an older one never replaces a newer one.

        Parameters
        ----------
        changes : StoreChanges
            Everything after `revision`.
        """
        for key, stored in changes.written.items():
            if stored.mod_revision > self._get_revision(key):
                self._found[key] = stored
        for key, revision in changes.removed.items():
            if revision > self._get_revision(key):
                self._found.pop(key, None)
        self.revision = max(self.revision, changes.revision)

    def _get_revision(self, key: str) -> int:
        return self._found.get(key, Stored()).mod_revision
