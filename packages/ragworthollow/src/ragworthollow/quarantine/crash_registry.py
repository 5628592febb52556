"""Record crash evidence, and tell what is quarantined by it."""

from collections.abc import Collection, Iterable, Mapping

from ragworthollow.conf import global_settings
from ragworthollow.quarantine.crash_record import NEVER_MS, CrashRecord
from ragworthollow.quarantine.evidence_update import CrashReport
from ragworthollow.quarantine.fingerprint import PART_PREFIX
from ragworthollow.quarantine.part_history import PartHistory
from ragworthollow.quarantine.quarantine_limits import QuarantineLimits
from ragworthollow.quarantine.running_request import RunningRequest
from ragworthollow.quarantine.verdict import Verdict
from ragworthollow.quarantine.verdicts import find_verdicts

# A full registry drops this fraction of its records.
_DROP_DIVISOR = 16


class CrashRegistry:
    """
    Record which requests and prompt parts were running in crashes.

    The evidence of several gateways can be added in any order and more than
    once.  Each change gets a sequence number, so that a gateway can send
    another gateway only the changes that it has not received.

    Parameters
    ----------
    limits : QuarantineLimits
        Numbers of crashes and durations.
    max_records : int
        Maximum number of records.  Those with the fewest crashes are dropped
        first, the oldest of them before others, and those of quarantines last.
    """

    def __init__(
        self,
        *,
        limits: QuarantineLimits,
        max_records: int = global_settings.MAX_CRASH_RECORDS,
    ) -> None:
        self._limits = limits
        self._max_records = max_records
        self._records: dict[str, CrashRecord] = {}
        # Sequence number of the last change of each record, ascending.
        self._numbers: dict[str, int] = {}
        self._history = PartHistory()
        self._verdicts: dict[str, Verdict] = {}
        self._judged_number = 0
        # Ends of the quarantines that were announced last.
        self._announced_ms: dict[str, float] = {}
        self._next_forget_ms = NEVER_MS
        self.last_number = 0

    def record_loss(self, part_fingerprints: Iterable[str]) -> None:
        """Record that an attempt with these parts was lost."""
        for part in part_fingerprints:
            self._history.record_attempt(part)

    def record_crash(
        self,
        running: RunningRequest,
        incarnation: str,
        now_ms: float,
    ) -> None:
        """
        Record a request that was running when an instance crashed.

        Parameters
        ----------
        running : RunningRequest
            The request.
        incarnation : str
            Incarnation of the instance.
        now_ms : float
            Current time.
        """
        crashes = {incarnation: now_ms}
        request_report = CrashReport(
            fingerprint=running.fingerprint,
            companions=running.get_companions(running.fingerprint),
        )
        self._add(request_report, crashes, now_ms)
        run_ms = (
            {}
            if running.started_ms is None
            else {incarnation: now_ms - running.started_ms}
        )
        for part in running.part_fingerprints:
            report = CrashReport(
                fingerprint=part,
                run_ms=run_ms,
                companions=running.get_companions(part),
                attempts=self._history.get_attempts(part),
            )
            self._add(report, crashes, now_ms)

    def record_success(self, fingerprint: str, now_ms: float) -> bool:
        """
        Clear a request or a prompt part that has succeeded.

        Returns
        -------
        bool
            Whether any crash counted against it.
        """
        if fingerprint.startswith(PART_PREFIX):
            self._history.record_success(fingerprint)
        return self.clear(fingerprint, now_ms)

    def clear(self, fingerprint: str, now_ms: float) -> bool:
        """
        Clear a request or a prompt part of all its crashes.

        Returns
        -------
        bool
            Whether any crash counted against it.
        """
        record = self._records.get(fingerprint)
        if record is None or not record.get_uncleared():
            return False
        self._add(
            CrashReport(fingerprint=fingerprint, cleared=tuple(record.crashes)),
            {},
            now_ms,
        )
        return True

    def apply_report(self, report: CrashReport, now_ms: float) -> None:
        """
        Add the evidence of another gateway or of the store.

        Parameters
        ----------
        report : CrashReport
            Evidence against one request or prompt part.
        now_ms : float
            Current time, on the clock of the records.
        """
        crashes = {
            incarnation: now_ms - age_ms
            for incarnation, age_ms in report.crash_ages_ms.items()
        }
        self._add(report, crashes, now_ms)

    def announce_quarantines(self, now_ms: float) -> list[str]:
        """Return what was quarantined, or for longer, since the last call."""
        previous_ms = self._announced_ms
        self._announced_ms = {
            fingerprint: verdict.release_ms
            for fingerprint, verdict in self._judge().items()
            if verdict.release_ms > now_ms
        }
        return sorted(
            fingerprint
            for fingerprint, release_ms in self._announced_ms.items()
            if release_ms
            > previous_ms.get(fingerprint, now_ms)
            + global_settings.QUARANTINE_TOLERANCE_MS
        )

    def get_remaining_ms(
        self, fingerprints: Collection[str], now_ms: float
    ) -> float:
        """
        Return how long a request stays quarantined; 0 if it is not.

        Parameters
        ----------
        fingerprints : collection of str
            Fingerprints of the request and of its prompt parts.
        now_ms : float
            Current time, on the clock of the records.
        """
        verdicts = self._judge()
        release_times_ms = [
            verdicts[fingerprint].release_ms
            for fingerprint in fingerprints
            if fingerprint in verdicts
            and verdicts[fingerprint].companions.issubset(fingerprints)
        ]
        return max(0, max(release_times_ms, default=now_ms) - now_ms)

    def get_record(self, fingerprint: str) -> CrashRecord | None:
        """Return the evidence against a request or prompt part, or None."""
        return self._records.get(fingerprint)

    def list_quarantined(self, now_ms: float) -> dict[str, float]:
        """Return the remaining time of each quarantine, by fingerprint."""
        return {
            fingerprint: verdict.release_ms - now_ms
            for fingerprint, verdict in self._judge().items()
            if verdict.release_ms > now_ms
        }

    def count(self) -> int:
        """Return the number of recorded requests and prompt parts."""
        return len(self._records)

    def list_crashes(self) -> set[str]:
        """Return the crashed incarnations that evidence is held of."""
        return {
            incarnation
            for record in self._records.values()
            for incarnation in record.crashes
        }

    def list_changes(self, after: int) -> list[tuple[int, str, CrashRecord]]:
        """Return the changes after a sequence number, oldest first."""
        changes = []
        for fingerprint, number in reversed(self._numbers.items()):
            if number <= after:
                break
            changes.append((number, fingerprint, self._records[fingerprint]))
        changes.reverse()
        return changes

    def _add(
        self,
        report: CrashReport,
        crashes: Mapping[str, float],
        now_ms: float,
    ) -> None:
        fingerprint = report.fingerprint
        record = self._records.get(fingerprint) or CrashRecord()
        is_new = record.add(
            crashes,
            report.cleared,
            run_ms=report.run_ms,
            companions=report.companions,
            attempts=report.attempts,
            has_succeeded=report.has_succeeded
            or fingerprint in self._history.succeeded,
        )
        if not is_new:
            return
        self._records[fingerprint] = record
        self.last_number += 1
        self._numbers.pop(fingerprint, None)
        self._numbers[fingerprint] = self.last_number
        self._forget(now_ms)

    def _judge(self) -> dict[str, Verdict]:
        """Return the verdicts by the present evidence."""
        if self._judged_number != self.last_number:
            self._judged_number = self.last_number
            self._verdicts = find_verdicts(self._records, self._limits)
        return self._verdicts

    def _forget(self, now_ms: float) -> None:
        """
        Discard crashes that are older than the longest quarantine.

        Crashes are kept beyond a shorter quarantine: what is admitted again
        and crashes an instance is quarantined at once.
        """
        is_full = len(self._records) > self._max_records
        if not is_full and now_ms < self._next_forget_ms:
            return
        self._next_forget_ms = (
            now_ms + global_settings.EVIDENCE_CLEANUP_INTERVAL_MS
        )
        max_quarantine_ms = (
            self._limits.quarantine_ms
            * 2**global_settings.QUARANTINE_DOUBLINGS_LIMIT
        )
        for fingerprint, record in tuple(self._records.items()):
            record.forget_before(now_ms - max_quarantine_ms)
            if not record.crashes:
                self._drop((fingerprint,))
        if len(self._records) > self._max_records:
            # Several at a time, since they have to be put in order.
            kept = self._max_records - self._max_records // _DROP_DIVISOR
            ordered = sorted(self._records, key=self._get_drop_order)
            self._drop(ordered[:-kept])

    def _get_drop_order(self, fingerprint: str) -> tuple[float, int, float]:
        verdict = self._judge().get(fingerprint)
        record = self._records[fingerprint]
        return (
            NEVER_MS if verdict is None else verdict.release_ms,
            len(record.get_uncleared()),
            record.get_newest_ms(),
        )

    def _drop(self, fingerprints: Iterable[str]) -> None:
        for fingerprint in fingerprints:
            self._records.pop(fingerprint)
            self._numbers.pop(fingerprint)
