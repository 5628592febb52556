"""Remember how often prompt parts were used."""

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
            oldest = next(iter(self._attempts))
            self._attempts.pop(oldest)
            self.succeeded.discard(oldest)

    def record_success(self, part: str) -> None:
        """Record that an attempt with a part has succeeded."""
        self.record_attempt(part)
        self.succeeded.add(part)

    def get_attempts(self, part: str) -> int:
        """Return the number of attempts with a part."""
        return self._attempts.get(part, 0)
