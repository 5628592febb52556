"""Decide which requests are quarantined."""

from collections.abc import Iterable, Mapping

from ragworthollow.conf import global_settings
from ragworthollow.quarantine.crash_record import NEVER_MS, CrashRecord


class CrashRegistry:
    """
    Record which requests were running in crashes, and decide which are harmful.

    The evidence of several gateways can be added in any order and more than
    once.  Each change gets a sequence number, so that a gateway can send
    another gateway only the changes that it has not received.

    Parameters
    ----------
    crash_limit : int
        Number of crashes since its last success at which a request is
        quarantined.
    quarantine_ms : float
        Duration of the quarantine after the last crash.
    max_records : int
        Maximum number of requests recorded.  Those with the oldest evidence
        are dropped first, and quarantined requests last.
    """

    def __init__(
        self,
        *,
        crash_limit: int,
        quarantine_ms: float,
        max_records: int = global_settings.MAX_CRASH_RECORDS,
    ) -> None:
        self._crash_limit = crash_limit
        self._quarantine_ms = quarantine_ms
        self._max_records = max_records
        self._records: dict[str, CrashRecord] = {}
        # Sequence number of the last change of each request, ascending.
        self._numbers: dict[str, int] = {}
        self._next_forget_ms = NEVER_MS
        self.last_number = 0

    def record_crash(
        self,
        fingerprint: str,
        incarnation: str,
        now_ms: float,
    ) -> bool:
        """
        Record that a request was running when an instance crashed.

        Returns
        -------
        bool
            Whether the request is newly quarantined.
        """
        return self.add(fingerprint, {incarnation: now_ms}, (), now_ms)

    def clear(self, fingerprint: str, now_ms: float) -> bool:
        """
        Clear a request of all its crashes.

        Returns
        -------
        bool
            Whether any crash counted against it.
        """
        record = self._records.get(fingerprint)
        if record is None or not record.list_uncleared_ms():
            return False
        self.add(fingerprint, {}, tuple(record.crashes), now_ms)
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
            Fingerprint of the request.
        crashes : mapping of str to float
            Times at which incarnations of instances that were running it
            ended, by incarnation.
        cleared : iterable of str
            Incarnations whose crashes do not count against it, since it has
            succeeded later.
        now_ms : float
            Current time, on the same clock as the crashes.

        Returns
        -------
        bool
            Whether the request is newly quarantined.
        """
        record = self._records.get(fingerprint)
        if record is None:
            record = CrashRecord()
        was_quarantined = self.get_remaining_ms(fingerprint, now_ms) > 0
        if not record.add(crashes, cleared):
            return False
        self._records[fingerprint] = record
        self.last_number += 1
        self._numbers.pop(fingerprint, None)
        self._numbers[fingerprint] = self.last_number
        self._forget(now_ms)
        return (
            not was_quarantined
            and self.get_remaining_ms(fingerprint, now_ms) > 0
        )

    def get_remaining_ms(self, fingerprint: str, now_ms: float) -> float:
        """Return the remaining time of a request in quarantine, or 0."""
        record = self._records.get(fingerprint)
        if record is None:
            return 0
        return max(0, self._get_release_ms(record) - now_ms)

    def get_record(self, fingerprint: str) -> CrashRecord | None:
        """Return the evidence against a request, or None."""
        return self._records.get(fingerprint)

    def list_quarantined(self, now_ms: float) -> dict[str, float]:
        """Return the remaining time of each quarantined request."""
        return {
            fingerprint: self._get_release_ms(record) - now_ms
            for fingerprint, record in self._records.items()
            if self._get_release_ms(record) > now_ms
        }

    def count(self) -> int:
        """Return the number of recorded requests."""
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

    def _get_release_ms(self, record: CrashRecord) -> float:
        return record.get_release_ms(self._crash_limit, self._quarantine_ms)

    def _forget(self, now_ms: float) -> None:
        """
        Discard crashes that are older than the longest quarantine.

        Crashes are kept beyond a shorter quarantine: a request that is admitted
        again and crashes an instance is quarantined at once.
        """
        is_full = len(self._records) > self._max_records
        if not is_full and now_ms < self._next_forget_ms:
            return
        self._next_forget_ms = (
            now_ms + global_settings.EVIDENCE_CLEANUP_INTERVAL_MS
        )
        max_quarantine_ms = (
            self._quarantine_ms * 2**global_settings.QUARANTINE_DOUBLINGS_LIMIT
        )
        for fingerprint, record in tuple(self._records.items()):
            record.forget_before(now_ms - max_quarantine_ms)
            if not record.crashes:
                self._drop(fingerprint)
        while len(self._records) > self._max_records:
            self._drop(min(self._records, key=self._get_drop_order))

    def _get_drop_order(self, fingerprint: str) -> tuple[float, float]:
        record = self._records[fingerprint]
        return self._get_release_ms(record), record.get_newest_ms()

    def _drop(self, fingerprint: str) -> None:
        self._records.pop(fingerprint)
        self._numbers.pop(fingerprint)
