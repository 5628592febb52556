"""Keep a replica of the store that is also updated by peer gateways."""

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from ragworthollow.platform.restored_order import (
    is_newer_value,
    is_retained_after_loss,
    may_stay_removed,
)
from ragworthollow.platform.store_changes import StoreChanges
from ragworthollow.platform.store_position import StorePosition
from ragworthollow.platform.store_snapshot import StoreSnapshot
from ragworthollow.platform.stored import Stored
from ragworthollow.replica.freshness import Freshness
from ragworthollow.replica.retained_keys import RetainedKeys
from ragworthollow.replica.store_update import StoreUpdate, UpdatedKey
from ragworthollow.replica.store_view import StoreView


@dataclass(frozen=True, kw_only=True, slots=True)
class UpdateResult:
    """
    Describe how an update from a peer affected the replica.

    Attributes
    ----------
    is_fresher : bool
        Whether the replica is now known to be up to date as of a later time.
    has_changed : bool
        Whether any key may have changed.
    is_behind : bool
        Whether the store has changes that neither the replica nor the update
        contains.
    """

    is_fresher: bool = False
    has_changed: bool = False
    is_behind: bool = False


class Replica:
    """
    Hold a copy of the store, and how fresh it is.

    Attributes
    ----------
    view : StoreView
        The copy.
    freshness : Freshness
        As of when the copy is known to be up to date.
    """

    def __init__(self) -> None:
        self.view = StoreView()
        self.freshness = Freshness()
        self._retained = RetainedKeys(
            is_newer=is_newer_value,
            may_outlive=is_retained_after_loss,
            may_stay_removed=may_stay_removed,
        )

    def get_entries(self, now_ms: float) -> Mapping[str, Stored]:
        """Return the active entries: the copy plus the retained keys."""
        return self._retained.merge(self.view.entries, now_ms)

    def count_retained(self) -> int:
        """Return the number of keys retained after a restore lost them."""
        return self._retained.count()

    def replace(self, snapshot: StoreSnapshot, now_ms: float) -> bool:
        """
        Replace the copy with a snapshot.

        Parameters
        ----------
        snapshot : StoreSnapshot
            All keys of the store.
        now_ms : float
            Time on CLOCK_BOOTTIME.

        Returns
        -------
        bool
            Whether the store was restored since the previous copy.
        """
        is_first = not self.view.revision
        is_restored = snapshot.timeline > self.view.timeline
        if is_restored and not is_first:
            self._retained.start_retention(
                self.get_entries(now_ms),
                self.view.get_removed(),
                snapshot.entries,
                now_ms,
            )
        before = self.view.entries
        self.view.replace(snapshot)
        if not is_restored:
            self._retained.discard_written(
                _find_changed_keys(before, self.view.entries),
                self.view.entries,
            )
        return is_restored and not is_first

    def apply(self, changes: StoreChanges) -> bool:
        """Apply changes; return False if they are of another timeline."""
        if changes.timeline != self.view.timeline:
            return False
        self.view.apply(changes)
        self._retained.discard_written(
            changes.written.keys() | changes.removed.keys(),
            self.view.entries,
        )
        return True

    def make_update(
        self,
        *,
        after: StorePosition,
        now_ms: float,
        max_bytes: float,
        allow_snapshot: bool = False,
    ) -> StoreUpdate | None:
        """
        Build the update for a peer that knows all changes up to a position.

        Parameters
        ----------
        after : StorePosition
            Position up to which the peer knows all changes.
        now_ms : float
            Time on CLOCK_BOOTTIME.
        max_bytes : float
            Size, in bytes, above which changes are left out.
        allow_snapshot : bool
            Whether to send all keys if the changes are no longer known.

        Returns
        -------
        StoreUpdate or None
            None while the replica is empty.
        """
        if not self.freshness.is_known():
            return None
        changes = self.view.find_changes(after)
        is_snapshot = changes is None and allow_snapshot
        if is_snapshot:
            changes = StoreChanges(
                written=self.view.entries,
                removed={},
                revision=self.view.revision,
                is_complete=True,
                timeline=self.view.timeline,
            )
        update = StoreUpdate(
            revision=self.view.revision,
            age_ms=self.freshness.get_age_ms(now_ms),
            timeline=self.view.timeline,
            retained=self._retained.export(now_ms) if allow_snapshot else (),
        )
        if changes is None or _get_size(changes) > max_bytes:
            return update
        return msgspec.structs.replace(
            update,
            is_complete=True,
            is_snapshot=is_snapshot,
            written=tuple(
                UpdatedKey(
                    key=key,
                    text=stored.text,
                    revision=stored.mod_revision,
                    created=stored.create_revision,
                )
                for key, stored in changes.written.items()
            ),
            removed=dict(changes.removed),
        )

    def apply_update(
        self,
        update: StoreUpdate,
        sent_ms: float,
        now_ms: float,
    ) -> UpdateResult:
        """
        Apply an update from a peer.

        A replica that contains everything in the update was up to date
        whenever the peer was, even if its revision is higher.  A replica that
        is behind and gets no content only learns that it is behind.

        Parameters
        ----------
        update : StoreUpdate
            The update.
        sent_ms : float
            When it was requested, on CLOCK_BOOTTIME.  The peer computed the
            age after this time, so its confirmation is at least as recent as
            this time minus the age, however long the response took.
        now_ms : float
            Time on CLOCK_BOOTTIME.
        """
        if update.timeline < self.view.timeline:
            # The peer's state was discarded when the store was restored.
            return UpdateResult()
        is_behind = update.get_position() > self.view.get_position()
        can_catch_up = (
            update.is_snapshot or update.timeline == self.view.timeline
        ) and update.is_complete
        if is_behind and not can_catch_up:
            return UpdateResult(is_behind=True)
        if is_behind:
            self._apply(update, now_ms)
        has_merged = self._retained.add_from_peer(
            update.retained,
            self.view.entries,
            now_ms,
        )
        is_fresher = self.freshness.record(sent_ms - max(0, update.age_ms))
        return UpdateResult(
            is_fresher=is_fresher,
            has_changed=is_behind or has_merged,
        )

    def _apply(self, update: StoreUpdate, now_ms: float) -> None:
        written = {
            entry.key: Stored(
                text=entry.text,
                mod_revision=entry.revision,
                create_revision=entry.created,
                timeline=update.timeline,
            )
            for entry in update.written
        }
        if update.is_snapshot:
            size_bytes = sum(len(entry.text) for entry in update.written)
            self.replace(
                StoreSnapshot(
                    entries=written,
                    revision=update.revision,
                    size_bytes=size_bytes,
                    timeline=update.timeline,
                ),
                now_ms,
            )
            return
        self.apply(
            StoreChanges(
                written=written,
                removed=update.removed,
                revision=update.revision,
                is_complete=True,
                timeline=update.timeline,
            ),
        )


def _find_changed_keys(
    before: Mapping[str, Stored],
    after: Mapping[str, Stored],
) -> set[str]:
    """Return the keys that were written or removed between two states."""
    return {
        key
        for key in before.keys() | after.keys()
        if key not in before
        or key not in after
        or not before[key].is_same_write(after[key])
    }


def _get_size(changes: StoreChanges) -> int:
    return sum(
        len(key) + len(stored.text) for key, stored in changes.written.items()
    )
