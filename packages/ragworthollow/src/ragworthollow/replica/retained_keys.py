"""Retain keys that the store lost when it was restored from a backup."""

from collections.abc import Callable, Collection, Iterator, Mapping
from dataclasses import dataclass

from ragworthollow.conf import global_settings
from ragworthollow.platform.stored import Stored
from ragworthollow.replica.store_update import RetainedKey

# Called with a key, the retained value and the store's value; returns whether
# the retained value is newer.
IsNewer = Callable[[str, str, str], bool]


@dataclass(frozen=True, kw_only=True, slots=True)
class _RetainedValue:
    """Hold a value, None for a removed key, and when it expires."""

    stored: Stored | None
    expires_ms: float


class RetainedKeys:
    """
    Keep lost changes active until they are written again.

    A store that is restored from a backup has lost the last seconds of
    accepted changes.  Their writers write them again after a while.  Until
    then an accepted change must not be undone: otherwise a revoked key would
    be accepted again, and an instance that is shutting down would get work.

    Each value is retained until the store shows that its key was written
    again, and for a limited time in case it never is.  A value whose content
    proves it newer than the store's is retained until the store has caught up.

    Parameters
    ----------
    is_newer : callable
        Called with a key, its retained value and the store's value; returns
        whether the retained one is newer.
    may_outlive : callable
        Called with a key; returns whether it is retained if the store has
        lost it.
    may_stay_removed : callable
        Called with a removed key; returns whether it stays removed if it has
        reappeared in the store.
    """

    def __init__(
        self,
        *,
        is_newer: IsNewer,
        may_outlive: Callable[[str], bool],
        may_stay_removed: Callable[[str], bool],
    ) -> None:
        self._is_newer = is_newer
        self._may_outlive = may_outlive
        self._may_stay_removed = may_stay_removed
        self._retained: dict[str, _RetainedValue] = {}

    def start_retention(
        self,
        previous: Mapping[str, Stored],
        removed: Mapping[str, int],
        entries: Mapping[str, Stored],
        now_ms: float,
    ) -> None:
        """
        Select the keys to retain by comparison with the restored store.

        Parameters
        ----------
        previous : mapping of str to Stored
            Entries that were active before the restore.
        removed : mapping of str to int
            Revision of each removal that is still remembered, by key.
        entries : mapping of str to Stored
            Entries of the restored store.
        now_ms : float
            Time on CLOCK_BOOTTIME.
        """
        expires_ms = now_ms + global_settings.RESTORED_RETENTION_MS
        lost = {
            key: _RetainedValue(stored=stored, expires_ms=expires_ms)
            for key, stored in previous.items()
            if key not in entries and self._may_outlive(key)
        }
        newer = {
            key: _RetainedValue(stored=previous[key], expires_ms=float('inf'))
            for key in previous.keys() & entries.keys()
            if self._is_newer(key, previous[key].text, entries[key].text)
        }
        reappeared = {
            key: _RetainedValue(stored=None, expires_ms=expires_ms)
            for key in (removed.keys() & entries.keys()) - previous.keys()
            # A higher revision means a new write after the removal.
            if entries[key].mod_revision < removed[key]
            and self._may_stay_removed(key)
        }
        self._retained = {**lost, **newer, **reappeared}

    def discard_written(
        self,
        keys: Collection[str],
        entries: Mapping[str, Stored],
    ) -> None:
        """Discard keys that were written or removed since the restore."""
        for key in keys & self._retained.keys():
            stored = self._retained[key].stored
            is_newer = (
                stored is not None
                and key in entries
                and self._is_newer(key, stored.text, entries[key].text)
            )
            if not is_newer:
                self._retained.pop(key)

    def merge(
        self,
        entries: Mapping[str, Stored],
        now_ms: float,
    ) -> Mapping[str, Stored]:
        """Return the store's entries overlaid with the retained keys."""
        self._retained = {
            key: retained
            for key, retained in self._retained.items()
            if retained.expires_ms > now_ms
        }
        if not self._retained:
            return entries
        merged = dict(entries)
        for key, retained in self._retained.items():
            merged.pop(key, None)
            if retained.stored is not None:
                merged[key] = retained.stored
        return merged

    def add_from_peer(
        self,
        received: Collection[RetainedKey],
        entries: Mapping[str, Stored],
        now_ms: float,
    ) -> bool:
        """
        Add the keys that a peer retains; return whether any of them is new.

        Parameters
        ----------
        received : collection of RetainedKey
            Keys that the peer retains.
        entries : mapping of str to Stored
            Entries of the store.
        now_ms : float
            Time on CLOCK_BOOTTIME.
        """
        added = dict(self._select_new(received, entries, now_ms))
        self._retained.update(added)
        return bool(added)

    def export(self, now_ms: float) -> tuple[RetainedKey, ...]:
        """Return the retained keys as sent to a peer."""
        max_left_ms = global_settings.RESTORED_RETENTION_MS
        return tuple(
            RetainedKey(
                key=key,
                text=None if retained.stored is None else retained.stored.text,
                left_ms=min(retained.expires_ms - now_ms, max_left_ms),
            )
            for key, retained in self._retained.items()
        )

    def count(self) -> int:
        """Return the number of retained keys."""
        return len(self._retained)

    def _select_new(
        self,
        received: Collection[RetainedKey],
        entries: Mapping[str, Stored],
        now_ms: float,
    ) -> Iterator[tuple[str, _RetainedValue]]:
        for entry in received:
            expires_ms = now_ms + entry.left_ms
            current = self.merge(entries, now_ms).get(entry.key)
            if entry.text is None:
                if current is not None:
                    yield (
                        entry.key,
                        _RetainedValue(stored=None, expires_ms=expires_ms),
                    )
            elif current is None:
                stored = Stored(text=entry.text)
                yield (
                    entry.key,
                    _RetainedValue(stored=stored, expires_ms=expires_ms),
                )
            elif self._is_newer(entry.key, entry.text, current.text):
                stored = Stored(text=entry.text)
                yield (
                    entry.key,
                    _RetainedValue(stored=stored, expires_ms=float('inf')),
                )
