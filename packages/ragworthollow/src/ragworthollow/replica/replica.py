"""Keep a copy of the store that other gateways help to keep young."""

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from ragworthollow.platform.restored_order import (
    is_newer_value,
    may_outlive_loss,
    may_stay_removed,
)
from ragworthollow.platform.store_changes import StoreChanges
from ragworthollow.platform.store_position import StorePosition
from ragworthollow.platform.store_snapshot import StoreSnapshot
from ragworthollow.platform.stored import Stored
from ragworthollow.replica.evidence import Evidence
from ragworthollow.replica.retained_keys import RetainedKeys
from ragworthollow.replica.store_news import NewsKey, StoreNews
from ragworthollow.replica.store_view import StoreView


@dataclass(frozen=True, kw_only=True, slots=True)
class NewsEffect:
    """
    Say what news did to the copy.

    Attributes
    ----------
    is_younger : bool
        Whether the copy is now known to be newest as of a later moment.
    has_changed : bool
        Whether any key may have changed.
    is_behind : bool
        Whether the store holds more than the copy and the news.
    """

    is_younger: bool = False
    has_changed: bool = False
    is_behind: bool = False


class Replica:
    """
    Hold a copy of the store and the evidence that it is the newest.

    Attributes
    ----------
    view : StoreView
        The copy.
    evidence : Evidence
        Since when it is known to be the newest.
    """

    def __init__(self) -> None:
        self.view = StoreView()
        self.evidence = Evidence()
        self._retained = RetainedKeys(
            is_newer=is_newer_value,
            may_outlive=may_outlive_loss,
            may_stay_removed=may_stay_removed,
        )

    def get_found(self, now_ms: float) -> Mapping[str, Stored]:
        """Return what is in force: the store, and what it has to get back."""
        return self._retained.merge(self.view.found, now_ms)

    def count_retained(self) -> int:
        """Return the number of keys that hold although the store lost them."""
        return self._retained.count()

    def replace(self, snapshot: StoreSnapshot, now_ms: float) -> bool:
        """
        Take all keys anew.

        Parameters
        ----------
        snapshot : StoreSnapshot
            What the store held.
        now_ms : float
            Time on the clock of the evidence.

        Returns
        -------
        bool
            Whether the store was restored since the state that was held.
        """
        is_first = not self.view.revision
        is_restored = snapshot.timeline > self.view.timeline
        if is_restored and not is_first:
            self._retained.begin(
                self.get_found(now_ms),
                self.view.get_removed(),
                snapshot.found,
                now_ms,
            )
        before = self.view.found
        self.view.replace(snapshot)
        if not is_restored:
            self._retained.note_written(
                _find_written(before, self.view.found),
                self.view.found,
            )
        return is_restored and not is_first

    def apply(self, changes: StoreChanges) -> bool:
        """Take what has changed; False for changes of another timeline."""
        if changes.timeline != self.view.timeline:
            return False
        self.view.apply(changes)
        self._retained.note_written(
            changes.written.keys() | changes.removed.keys(),
            self.view.found,
        )
        return True

    def make_news(
        self,
        *,
        after: StorePosition,
        now_ms: float,
        longest_bytes: float,
        may_be_snapshot: bool = False,
    ) -> StoreNews | None:
        """
        Tell what is known to one that knows everything up to a revision.

        Parameters
        ----------
        after : StorePosition
            Up to which the asker knows everything.
        now_ms : float
            Time on the clock of the evidence.
        longest_bytes : float
            Size of values from which they are left out.
        may_be_snapshot : bool
            Whether all keys may be told where the changes are not known.

        Returns
        -------
        StoreNews or None
            None while nothing is known.
        """
        if not self.evidence.is_known():
            return None
        changes = self.view.find_changes(after)
        is_snapshot = changes is None and may_be_snapshot
        if is_snapshot:
            changes = StoreChanges(
                written=self.view.found,
                removed={},
                revision=self.view.revision,
                is_whole=True,
                timeline=self.view.timeline,
            )
        news = StoreNews(
            revision=self.view.revision,
            age_ms=self.evidence.get_age_ms(now_ms),
            timeline=self.view.timeline,
            retained=self._retained.tell(now_ms) if may_be_snapshot else (),
        )
        if changes is None or _measure(changes) > longest_bytes:
            return news
        return msgspec.structs.replace(
            news,
            is_complete=True,
            is_snapshot=is_snapshot,
            written=tuple(
                NewsKey(
                    key=key,
                    text=stored.text,
                    revision=stored.mod_revision,
                    created=stored.create_revision,
                )
                for key, stored in changes.written.items()
            ),
            removed=dict(changes.removed),
        )

    def take_news(
        self,
        news: StoreNews,
        asked_ms: float,
        now_ms: float,
    ) -> NewsEffect:
        """
        Take what another gateway tells.

        A copy that holds all that the news speaks of was the newest when the
        news was: it is not the revisions that have to be equal.  One that is
        behind and gets no content learns only that it is behind.

        Parameters
        ----------
        news : StoreNews
            What was told.
        asked_ms : float
            When it was asked for, on the clock of the evidence.  The age was
            worked out after that, so that the proof is no older than the age
            before this moment; how long the answer took does not matter.
        now_ms : float
            Time on the clock of the evidence.
        """
        if news.timeline < self.view.timeline:
            # What it knows was lost when the store was restored.
            return NewsEffect()
        is_behind = news.get_position() > self.view.get_position()
        leads_there = (
            news.is_snapshot or news.timeline == self.view.timeline
        ) and news.is_complete
        if is_behind and not leads_there:
            return NewsEffect(is_behind=True)
        if is_behind:
            self._apply(news, now_ms)
        has_adopted = self._retained.adopt(
            news.retained,
            self.view.found,
            now_ms,
        )
        is_younger = self.evidence.note(asked_ms - max(0, news.age_ms))
        return NewsEffect(
            is_younger=is_younger,
            has_changed=is_behind or has_adopted,
        )

    def _apply(self, news: StoreNews, now_ms: float) -> None:
        written = {
            one.key: Stored(
                text=one.text,
                mod_revision=one.revision,
                create_revision=one.created,
                timeline=news.timeline,
            )
            for one in news.written
        }
        if news.is_snapshot:
            size_bytes = sum(len(one.text) for one in news.written)
            self.replace(
                StoreSnapshot(
                    found=written,
                    revision=news.revision,
                    size_bytes=size_bytes,
                    timeline=news.timeline,
                ),
                now_ms,
            )
            return
        self.apply(
            StoreChanges(
                written=written,
                removed=news.removed,
                revision=news.revision,
                is_whole=True,
                timeline=news.timeline,
            ),
        )


def _find_written(
    before: Mapping[str, Stored],
    found: Mapping[str, Stored],
) -> set[str]:
    """Return the keys that were written or removed between two states."""
    return {
        key
        for key in before.keys() | found.keys()
        if key not in before
        or key not in found
        or not before[key].is_same_write(found[key])
    }


def _measure(changes: StoreChanges) -> int:
    return sum(
        len(key) + len(stored.text) for key, stored in changes.written.items()
    )
