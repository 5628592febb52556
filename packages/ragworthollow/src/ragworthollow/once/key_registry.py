"""Store the records of keys for as long as a retry may arrive."""

from collections.abc import Iterable

from ragworthollow.conf import global_settings
from ragworthollow.once.assignment import get_range
from ragworthollow.once.record import KeyRecord, RecordState


class KeyRegistry:
    """
    Store key records until the keys are too old to be accepted again.

    Records are never evicted early, since a key without its record could run
    a second time: when the memory limit is reached, new keys are refused.

    Parameters
    ----------
    limit_bytes : int
        Memory limit of the records, in bytes.
    """

    def __init__(
        self,
        *,
        limit_bytes: int = global_settings.KEY_RECORDS_LIMIT_BYTES,
    ) -> None:
        self._limit_bytes = limit_bytes
        self._records: dict[str, KeyRecord] = {}
        self.size_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    def get(self, key: str) -> KeyRecord | None:
        """Return the record of a key; None if there is none."""
        return self._records.get(key)

    def is_full(self) -> bool:
        """Return whether new keys have to be refused."""
        return self.size_bytes >= self._limit_bytes

    def put(self, record: KeyRecord) -> None:
        """Add or replace a record."""
        self.remove(record.key)
        self._records[record.key] = record
        self.size_bytes += record.get_size_bytes()

    def remove(self, key: str) -> None:
        """Remove a record; only for calls that are certain not to have run."""
        known = self._records.pop(key, None)
        if known is not None:
            self.size_bytes -= known.get_size_bytes()

    def merge(self, records: Iterable[KeyRecord]) -> None:
        """Add records; records of calls that have ended here are kept."""
        for record in records:
            known = self.get(record.key)
            if known is None or known.state is RecordState.running:
                self.put(record)

    def get_range_records(self, index: int) -> list[KeyRecord]:
        """Return the records of one range."""
        return [
            record
            for key, record in self._records.items()
            if get_range(key) == index
        ]

    def has_running(self, index: int) -> bool:
        """Return whether a call of this range is still running."""
        return any(
            record.state is RecordState.running
            for record in self.get_range_records(index)
        )

    def remove_expired(self, now_wall_ms: float) -> int:
        """
        Remove records of ended calls whose keys are now refused as too old.

        Returns
        -------
        int
            Number of records removed.
        """
        retention_ms = (
            global_settings.KEY_MAX_AGE_MS
            + 2 * global_settings.KEY_FUTURE_MARGIN_MS
        )
        expired = [
            record.key
            for record in self._records.values()
            if record.state is not RecordState.running
            and record.born_ms + retention_ms < now_wall_ms
        ]
        for key in expired:
            self.remove(key)
        return len(expired)
