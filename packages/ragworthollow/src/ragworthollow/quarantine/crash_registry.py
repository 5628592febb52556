"""Decide which requests are quarantined."""

from collections.abc import Iterable, Mapping

from ragworthollow.conf import global_settings
from ragworthollow.quarantine.crash_record import NEVER_MS, Suspect


class CrashLedger:
    """
    Hold the requests that were running in crashes, and tell which are harmful.

    The evidence of several gateways can be added in any order and more than
    once.  Each change gets a number, so that a gateway can tell another what
    it has not heard.

    Parameters
    ----------
    crash_limit : int
        Crashes since its last good end from which a request is quarantined.
    term_ms : float
        For how long after the last crash.
    longest : int
        Most requests that are remembered; those whose evidence is oldest go
        first, and those that are quarantined last.
    """

    def __init__(
        self,
        *,
        crash_limit: int,
        term_ms: float,
        longest: int = global_settings.SUSPECTS_KEPT,
    ) -> None:
        self._crash_limit = crash_limit
        self._term_ms = term_ms
        self._longest = longest
        self._suspects: dict[str, Suspect] = {}
        # In the order of their last change.
        self._numbers: dict[str, int] = {}
        self._forget_ms = NEVER_MS
        self.number = 0

    def note_crash(
        self,
        fingerprint: str,
        incarnation: str,
        now_ms: float,
    ) -> bool:
        """
        Take it that a request was running when an instance crashed.

        Returns
        -------
        bool
            Whether the request is quarantined from now on and was not before.
        """
        return self.add(fingerprint, {incarnation: now_ms}, (), now_ms)

    def clear(self, fingerprint: str, now_ms: float) -> bool:
        """
        Take all evidence against a request back.

        Returns
        -------
        bool
            Whether there was any.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.list_counted():
            return False
        self.add(fingerprint, {}, tuple(suspect.crashes), now_ms)
        return True

    def add(
        self,
        fingerprint: str,
        crashes: Mapping[str, float],
        cleared: Iterable[str],
        now_ms: float,
    ) -> bool:
        """
        Add evidence.

        Parameters
        ----------
        fingerprint : str
            The request.
        crashes : mapping of str to float
            When incarnations of instances ended that were running it.
        cleared : iterable of str
            Those that say nothing against it, since it ended well later.
        now_ms : float
            Time on the clock that all of these are on.

        Returns
        -------
        bool
            Whether the request is quarantined from now on and was not before.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            suspect = Suspect()
        was_quarantined = self.get_left_ms(fingerprint, now_ms) > 0
        if not suspect.add(crashes, cleared):
            return False
        self._suspects[fingerprint] = suspect
        self.number += 1
        self._numbers.pop(fingerprint, None)
        self._numbers[fingerprint] = self.number
        self._forget(now_ms)
        return not was_quarantined and self.get_left_ms(fingerprint, now_ms) > 0

    def get_left_ms(self, fingerprint: str, now_ms: float) -> float:
        """Return for how long a request is quarantined; 0 if it is not."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return 0
        return max(0, self._get_release_ms(suspect) - now_ms)

    def get_suspect(self, fingerprint: str) -> Suspect | None:
        """Return the evidence against a request, or None."""
        return self._suspects.get(fingerprint)

    def list_quarantined(self, now_ms: float) -> dict[str, float]:
        """Return how long each request that is quarantined still is."""
        return {
            fingerprint: self._get_release_ms(suspect) - now_ms
            for fingerprint, suspect in self._suspects.items()
            if self._get_release_ms(suspect) > now_ms
        }

    def count(self) -> int:
        """Return the number of requests that are remembered."""
        return len(self._suspects)

    def list_changes(self, after: int) -> list[tuple[int, str, Suspect]]:
        """Return what has changed after a number, the oldest change first."""
        changes = []
        for fingerprint, number in reversed(self._numbers.items()):
            if number <= after:
                break
            changes.append((number, fingerprint, self._suspects[fingerprint]))
        changes.reverse()
        return changes

    def _get_release_ms(self, suspect: Suspect) -> float:
        return suspect.get_release_ms(self._crash_limit, self._term_ms)

    def _forget(self, now_ms: float) -> None:
        """
        Forget crashes that are as old as the longest quarantine.

        They outlive a shorter one: a request that is let in again and crashes
        an instance is quarantined at once.
        """
        is_full = len(self._suspects) > self._longest
        if not is_full and now_ms < self._forget_ms:
            return
        self._forget_ms = now_ms + global_settings.EVIDENCE_FORGET_MS
        longest_ms = (
            self._term_ms * 2**global_settings.QUARANTINE_DOUBLINGS_LIMIT
        )
        for fingerprint, suspect in tuple(self._suspects.items()):
            suspect.forget_before(now_ms - longest_ms)
            if not suspect.crashes:
                self._drop(fingerprint)
        while len(self._suspects) > self._longest:
            self._drop(min(self._suspects, key=self._rank))

    def _rank(self, fingerprint: str) -> tuple[float, float]:
        suspect = self._suspects[fingerprint]
        return self._get_release_ms(suspect), suspect.get_newest_ms()

    def _drop(self, fingerprint: str) -> None:
        self._suspects.pop(fingerprint)
        self._numbers.pop(fingerprint)
