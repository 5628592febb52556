"""Define what is suspected of crashing instances."""

from collections.abc import Collection
from dataclasses import dataclass
from typing import Self

from ragworthollow.conf import global_settings
from ragworthollow.quarantine.crash_record import CrashRecord
from ragworthollow.quarantine.fingerprint import PART_PREFIX
from ragworthollow.quarantine.quarantine_limits import QuarantineLimits


@dataclass(frozen=True, kw_only=True, slots=True)
class Suspect:
    """
    Hold the crashes that count against a request or a prompt part.

    Attributes
    ----------
    fingerprint : str
        Fingerprint of the request or of the part.
    is_part : bool
        Whether it is a part.
    has_succeeded : bool
        Whether it has ever succeeded.
    crashes : dict of str to float
        Times of the crashes since, by incarnation.
    run_ms : dict of str to float
        Shortest run before the crash, by incarnation, where it is known.
    companions : frozenset of str
        Prompt parts that each request had as well when it was in a crash.
    attempts : int
        Largest number of attempts with a part that have ended at any gateway.
    crash_limit : int
        Number of crashes at which it is quarantined.
    quarantine_ms : float
        Duration of the quarantine after the last of them, in milliseconds.
    """

    fingerprint: str
    is_part: bool
    has_succeeded: bool
    crashes: dict[str, float]
    run_ms: dict[str, float]
    companions: frozenset[str]
    attempts: int
    crash_limit: int
    quarantine_ms: float

    @classmethod
    def make(
        cls,
        fingerprint: str,
        record: CrashRecord,
        limits: QuarantineLimits,
    ) -> Self:
        """Make the suspect that a record is about."""
        is_part = fingerprint.startswith(PART_PREFIX)
        crash_limit, quarantine_ms = limits.crashes, limits.quarantine_ms
        if is_part and record.has_succeeded:
            crash_limit = limits.sound_part_crashes
            quarantine_ms = limits.sound_part_quarantine_ms
        elif is_part:
            crash_limit = limits.part_crashes
            quarantine_ms = limits.part_quarantine_ms
        return cls(
            fingerprint=fingerprint,
            is_part=is_part,
            has_succeeded=record.has_succeeded,
            crashes=record.get_uncleared(),
            run_ms=record.run_ms,
            companions=record.companions or frozenset(),
            attempts=record.attempts,
            crash_limit=crash_limit,
            quarantine_ms=quarantine_ms,
        )

    def count(self, excluded: Collection[str] = ()) -> int:
        """
        Return how many crashes count, except those of some incarnations.

        Many requests share a part, so an outage that ends several instances
        at once ends some with the part on most of them.  For a part, crashes
        at about the same time therefore count once, unless the request that
        was running had been sent after the earlier one.
        """
        crashes = self.crashes.keys() - set(excluded)
        if not self.is_part:
            return len(crashes)
        count = 0
        last_ms = float('-inf')
        for incarnation in sorted(crashes, key=self._get_order):
            crashed_ms = self.crashes[incarnation]
            run_ms = self.run_ms.get(
                incarnation, global_settings.COINCIDENT_CRASHES_MS
            )
            least_ms = min(run_ms, global_settings.COINCIDENT_CRASHES_MS)
            if crashed_ms - least_ms >= last_ms:
                count += 1
                last_ms = crashed_ms
        return count

    def list_repetitions(self) -> list[str]:
        """Return the incarnations of all crashes but the first."""
        return sorted(self.crashes, key=self._get_order)[1:]

    def get_rank(self) -> tuple[int, int, str]:
        """Return the rank of a part, the most likely to be harmful first."""
        return -len(self.crashes), self.attempts, self.fingerprint

    def get_release_ms(self) -> float:
        """
        Return the end of the quarantine.

        It doubles with each crash beyond the limit, so that what is admitted
        again and crashes another instance is quarantined for longer.
        """
        doublings = min(
            self.count() - self.crash_limit,
            global_settings.QUARANTINE_DOUBLINGS_LIMIT,
        )
        return max(self.crashes.values()) + self.quarantine_ms * 2**doublings

    def _get_order(self, incarnation: str) -> tuple[float, str]:
        return self.crashes[incarnation], incarnation
