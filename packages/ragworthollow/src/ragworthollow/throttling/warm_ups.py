"""Keep which instances warm up, and until when."""

from ragworthollow.conf import global_settings


class WarmUps:
    """
    Know until when each start of an instance warms up.

    An entry in the store says how much longer it takes, and a later one
    replaces it.  What the instance itself says, or what follows from the end
    of a drain, is younger than the entry that is read next: it only ever
    makes the time longer.

    Times are on the monotonic clock.  An entry counts from when it is read,
    which is after it was written, so that the time is never too short.
    """

    def __init__(self) -> None:
        self._listed_until_ms: dict[str, float] = {}
        self._noted_until_ms: dict[str, float] = {}
        self._last_ms = float('-inf')

    def note_entry(self, incarnation: str, until_ms: float) -> None:
        """Take what a new entry of an instance says."""
        self._last_ms = max(self._last_ms, until_ms)
        _keep(self._listed_until_ms, incarnation, until_ms)

    def note(self, incarnation: str, until_ms: float) -> None:
        """Take it that an instance warms up until some time at least."""
        known_ms = self._noted_until_ms.get(incarnation, until_ms)
        self._last_ms = max(self._last_ms, until_ms)
        _keep(self._noted_until_ms, incarnation, max(known_ms, until_ms))

    def may_have_any(self, now_ms: float) -> bool:
        """Tell whether any instance may still warm up."""
        return now_ms < self._last_ms

    def get_left_ms(self, incarnation: str, now_ms: float) -> float:
        """Return for how long an instance still warms up; 0 if it does not."""
        until_ms = max(
            self._listed_until_ms.get(incarnation, now_ms),
            self._noted_until_ms.get(incarnation, now_ms),
        )
        return max(0, until_ms - now_ms)


def _keep(
    kept_until_ms: dict[str, float],
    incarnation: str,
    until_ms: float,
) -> None:
    """Keep a time, and drop what was told longest ago."""
    kept_until_ms.pop(incarnation, None)
    kept_until_ms[incarnation] = until_ms
    while len(kept_until_ms) > global_settings.WARM_UPS_KEPT:
        kept_until_ms.pop(next(iter(kept_until_ms)))
