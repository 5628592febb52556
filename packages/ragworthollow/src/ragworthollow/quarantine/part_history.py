"""Remember how often prompt parts were used."""

import itertools

from ragworthollow.conf import global_settings


class PartHistory:
    """
    Remember attempts and successes of the prompt parts used last.

    Attributes
    ----------
    succeeded : set of str
        Fingerprints of the remembered parts that have succeeded.
    """

    def __init__(self) -> None:
        self.succeeded: set[str] = set()
        # Numbers of attempts; the part used last is at the end.
        self._attempts: dict[str, int] = {}

    def record_attempt(self, part: str) -> None:
        """Record that an attempt with a part has ended."""
        self._attempts[part] = self._attempts.pop(part, 0) + 1
        if len(self._attempts) > global_settings.MAX_TRACKED_HISTORIES:
            self._forget_one()

    def record_success(self, part: str) -> None:
        """Record that an attempt with a part has succeeded."""
        self.record_attempt(part)
        self.succeeded.add(part)

    def get_attempts(self, part: str) -> int:
        """Return the number of attempts with a part."""
        return self._attempts.get(part, 0)

    def _forget_one(self) -> None:
        oldest = itertools.islice(
            self._attempts, global_settings.HISTORY_CANDIDATES
        )
        forgotten = min(oldest, key=self.get_attempts)
        self._attempts.pop(forgotten)
        self.succeeded.discard(forgotten)
