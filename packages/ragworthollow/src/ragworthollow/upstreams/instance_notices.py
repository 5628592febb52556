"""Keep what instances have said of themselves in their answers."""

from collections.abc import Mapping

from ragworthollow.conf import global_settings


class InstanceNotices:
    """
    Know which instances have said that they leave, or want a pause.

    Both hold for one start of an instance.  That it leaves is never taken
    back: the store may be away, or an older list come later.
    """

    def __init__(self) -> None:
        self._leaving_since_ms: dict[str, float] = {}
        self._paused_until_ms: dict[str, float] = {}

    def note_leaving(self, incarnation: str, since_ms: float) -> bool:
        """Take it that an instance leaves; False when that was known."""
        if incarnation in self._leaving_since_ms:
            return False
        self._leaving_since_ms[incarnation] = since_ms
        while len(self._leaving_since_ms) > global_settings.NOTICES_KEPT:
            self._leaving_since_ms.pop(next(iter(self._leaving_since_ms)))
        return True

    def is_leaving(self, incarnation: str) -> bool:
        """Tell whether an instance has said that it leaves."""
        return incarnation in self._leaving_since_ms

    def get_leaving(self) -> Mapping[str, float]:
        """Return since when instances leave that have said so."""
        return self._leaving_since_ms

    def note_pause(self, incarnation: str, until_ms: float) -> None:
        """Take it that an instance wants nothing until some time."""
        known_ms = self._paused_until_ms.get(incarnation, until_ms)
        self._paused_until_ms[incarnation] = max(known_ms, until_ms)

    def has_pauses(self) -> bool:
        """Tell whether any instance may want a pause."""
        return bool(self._paused_until_ms)

    def get_pause_left_ms(self, incarnation: str, now_ms: float) -> float:
        """Return for how long an instance wants nothing; 0 if it does."""
        left_ms = self._paused_until_ms.get(incarnation, now_ms) - now_ms
        if left_ms > 0:
            return left_ms
        self._paused_until_ms.pop(incarnation, None)
        return 0
