"""Keep what was known before the store was restored from a copy."""

from collections.abc import Callable, Collection, Iterator, Mapping
from dataclasses import dataclass

from ragworthollow.conf import global_settings
from ragworthollow.platform.stored import Stored
from ragworthollow.replica.store_news import RetainedKey

# Tells of a key whether a value that was held is newer than the store's.
IsNewer = Callable[[str, str, str], bool]


@dataclass(frozen=True, kw_only=True, slots=True)
class _Retained:
    """Hold a value, None for a removed key, and until when it is kept."""

    stored: Stored | None
    until_ms: float


class RetainedKeys:
    """
    Let what was in force hold until it is written again.

    A store that is restored has lost the last seconds of what it had
    accepted.  Those who wrote it write it again, after a while.  Until then a
    change that was accepted must not be undone: a key that was revoked would
    be taken again, and an instance that leaves would get work.

    What is held is kept for each key until the store shows that it was
    written again, and for a bounded time, since it may not be.  A value that
    tells by itself that it is newer than the store's is kept until the store
    has caught up.

    Parameters
    ----------
    is_newer : callable
        Tells by key and both values whether the held one is newer.
    may_outlive : callable
        Tells whether a key that the store has lost is kept.
    may_stay_removed : callable
        Tells whether a removed key that the store has again is left out.
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
        self._kept: dict[str, _Retained] = {}

    def begin(
        self,
        held: Mapping[str, Stored],
        removed: Mapping[str, int],
        found: Mapping[str, Stored],
        now_ms: float,
    ) -> None:
        """
        Compare what was held with what the restored store holds.

        Parameters
        ----------
        held : mapping of str to Stored
            What was in force.
        removed : mapping of str to int
            Revision at which keys were removed, as far as is known.
        found : mapping of str to Stored
            What the store holds now.
        now_ms : float
            Time on the clock that counts suspended time.
        """
        until_ms = now_ms + global_settings.RESTORED_RETENTION_MS
        lost = {
            key: _Retained(stored=stored, until_ms=until_ms)
            for key, stored in held.items()
            if key not in found and self._may_outlive(key)
        }
        ahead = {
            key: _Retained(stored=held[key], until_ms=float('inf'))
            for key in held.keys() & found.keys()
            if self._is_newer(key, held[key].text, found[key].text)
        }
        again = {
            key: _Retained(stored=None, until_ms=until_ms)
            for key in (removed.keys() & found.keys()) - held.keys()
            # One that was written after its removal was written again.
            if found[key].mod_revision < removed[key]
            and self._may_stay_removed(key)
        }
        self._kept = {**lost, **ahead, **again}

    def note_written(
        self,
        keys: Collection[str],
        found: Mapping[str, Stored],
    ) -> None:
        """Let go of keys that were written or removed since the restoration."""
        for key in keys & self._kept.keys():
            held = self._kept[key].stored
            is_ahead = (
                held is not None
                and key in found
                and self._is_newer(key, held.text, found[key].text)
            )
            if not is_ahead:
                self._kept.pop(key)

    def merge(
        self,
        found: Mapping[str, Stored],
        now_ms: float,
    ) -> Mapping[str, Stored]:
        """Return what is in force, where the store holds `found`."""
        self._kept = {
            key: one for key, one in self._kept.items() if one.until_ms > now_ms
        }
        if not self._kept:
            return found
        merged = dict(found)
        for key, one in self._kept.items():
            merged.pop(key, None)
            if one.stored is not None:
                merged[key] = one.stored
        return merged

    def adopt(
        self,
        told: Collection[RetainedKey],
        found: Mapping[str, Stored],
        now_ms: float,
    ) -> bool:
        """
        Take what another gateway retains, and tell whether any of it is new.

        Parameters
        ----------
        told : collection of RetainedKey
            What it retains.
        found : mapping of str to Stored
            What the store holds.
        now_ms : float
            Time on the clock that counts suspended time.
        """
        taken = dict(self._choose(told, found, now_ms))
        self._kept.update(taken)
        return bool(taken)

    def tell(self, now_ms: float) -> tuple[RetainedKey, ...]:
        """Return what is retained, for another gateway."""
        longest_ms = global_settings.RESTORED_RETENTION_MS
        return tuple(
            RetainedKey(
                key=key,
                text=None if one.stored is None else one.stored.text,
                left_ms=min(one.until_ms - now_ms, longest_ms),
            )
            for key, one in self._kept.items()
        )

    def count(self) -> int:
        """Return the number of keys that are retained."""
        return len(self._kept)

    def _choose(
        self,
        told: Collection[RetainedKey],
        found: Mapping[str, Stored],
        now_ms: float,
    ) -> Iterator[tuple[str, _Retained]]:
        for one in told:
            until_ms = now_ms + one.left_ms
            held = self.merge(found, now_ms).get(one.key)
            if one.text is None:
                if held is not None:
                    yield one.key, _Retained(stored=None, until_ms=until_ms)
            elif held is None:
                stored = Stored(text=one.text)
                yield one.key, _Retained(stored=stored, until_ms=until_ms)
            elif self._is_newer(one.key, one.text, held.text):
                stored = Stored(text=one.text)
                yield (
                    one.key,
                    _Retained(stored=stored, until_ms=float('inf')),
                )
