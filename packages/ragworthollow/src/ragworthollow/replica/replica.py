"""Keep a copy of the store that other gateways help to keep young."""

from dataclasses import dataclass

import msgspec

from ragworthollow.platform.store_changes import StoreChanges
from ragworthollow.platform.store_snapshot import StoreSnapshot
from ragworthollow.platform.stored import Stored
from ragworthollow.replica.evidence import Evidence
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

    def make_news(
        self,
        *,
        after_revision: int,
        now_ms: float,
        longest_bytes: float,
        may_be_snapshot: bool = False,
    ) -> StoreNews | None:
        """
        Tell what is known to one that knows everything up to a revision.

        Parameters
        ----------
        after_revision : int
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
        changes = self.view.find_changes(after_revision)
        is_snapshot = changes is None and may_be_snapshot
        if is_snapshot:
            changes = StoreChanges(
                written=self.view.found,
                removed={},
                revision=self.view.revision,
                is_whole=True,
            )
        news = StoreNews(
            revision=self.view.revision,
            age_ms=self.evidence.get_age_ms(now_ms),
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

    def take_news(self, news: StoreNews, asked_ms: float) -> NewsEffect:
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
        """
        is_behind = news.revision > self.view.revision
        if is_behind and not news.is_complete:
            return NewsEffect(is_behind=True)
        if is_behind:
            self._apply(news)
        is_younger = self.evidence.note(asked_ms - max(0, news.age_ms))
        return NewsEffect(is_younger=is_younger, has_changed=is_behind)

    def _apply(self, news: StoreNews) -> None:
        written = {
            one.key: Stored(
                text=one.text,
                mod_revision=one.revision,
                create_revision=one.created,
            )
            for one in news.written
        }
        if news.is_snapshot:
            size_bytes = sum(len(one.text) for one in news.written)
            self.view.replace(
                StoreSnapshot(
                    found=written,
                    revision=news.revision,
                    size_bytes=size_bytes,
                ),
            )
            return
        self.view.apply(
            StoreChanges(
                written=written,
                removed=news.removed,
                revision=news.revision,
                is_whole=True,
            ),
        )


def _measure(changes: StoreChanges) -> int:
    return sum(
        len(key) + len(stored.text) for key, stored in changes.written.items()
    )
