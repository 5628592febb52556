"""Track what instances state about themselves in their responses."""

from collections.abc import Mapping

from ragworthollow.conf import global_settings


class InstanceSignals:
    """
    Track instances that announced their shutdown or asked for a pause.

    Both apply to a single incarnation.  A shutdown is never revoked, since
    the store may be unavailable or an outdated list may arrive later.
    """

    def __init__(self) -> None:
        self._leaving_since_ms: dict[str, float] = {}
        self._paused_until_ms: dict[str, float] = {}

    def record_leaving(self, incarnation: str, since_ms: float) -> bool:
        """Record a shutdown; return False if it was already known."""
        if incarnation in self._leaving_since_ms:
            return False
        self._leaving_since_ms[incarnation] = since_ms
        while (
            len(self._leaving_since_ms) > global_settings.MAX_LEAVING_INSTANCES
        ):
            self._leaving_since_ms.pop(next(iter(self._leaving_since_ms)))
        return True

    def is_leaving(self, incarnation: str) -> bool:
        """Return whether an instance has announced its shutdown."""
        return incarnation in self._leaving_since_ms

    def get_leaving(self) -> Mapping[str, float]:
        """Return when each instance announced its shutdown."""
        return self._leaving_since_ms

    def record_pause(self, incarnation: str, until_ms: float) -> None:
        """Record that an instance wants no requests until a given time."""
        known_ms = self._paused_until_ms.get(incarnation, until_ms)
        self._paused_until_ms[incarnation] = max(known_ms, until_ms)

    def has_pauses(self) -> bool:
        """Return whether any instance may have asked for a pause."""
        return bool(self._paused_until_ms)

    def get_remaining_pause_ms(self, incarnation: str, now_ms: float) -> float:
        """Return the rest of an instance's pause; 0 if it is not paused."""
        remaining_ms = self._paused_until_ms.get(incarnation, now_ms) - now_ms
        if remaining_ms > 0:
            return remaining_ms
        self._paused_until_ms.pop(incarnation, None)
        return 0
