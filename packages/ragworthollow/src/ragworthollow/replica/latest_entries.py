"""Merge the replica with own reads of the store, without going back."""

from collections.abc import Mapping
from dataclasses import dataclass

from ragworthollow.platform.store_position import StorePosition
from ragworthollow.platform.stored import Stored


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryChanges:
    """
    Tell what a state of the store has changed.

    Attributes
    ----------
    written : tuple of str
        Keys that have a later write.
    removed : tuple of str
        Keys that are gone.
    """

    written: tuple[str, ...]
    removed: tuple[str, ...]


class LatestEntries:
    """
    Hold the latest known writes of some keys.

    The replica may be older than a read that was made meanwhile.
    """

    def __init__(self) -> None:
        self._entries: dict[str, Stored] = {}

    def get(self, key: str) -> Stored:
        """Return the latest write of a key; an absent one if there is none."""
        return self._entries.get(key, Stored())

    def merge(
        self, entries: Mapping[str, Stored], as_of: StorePosition
    ) -> EntryChanges:
        """
        Merge all keys of a state of the store.

        Parameters
        ----------
        entries : mapping of str to Stored
            The keys of that state.
        as_of : StorePosition
            Position up to which the state contains all changes.
        """
        written = tuple(
            key
            for key, stored in entries.items()
            if key not in self._entries
            or stored.get_position() > self._entries[key].get_position()
        )
        removed = tuple(
            key
            for key, stored in self._entries.items()
            if key not in entries and stored.get_position() <= as_of
        )
        self._entries.update((key, entries[key]) for key in written)
        for key in removed:
            self._entries.pop(key)
        return EntryChanges(written=written, removed=removed)
