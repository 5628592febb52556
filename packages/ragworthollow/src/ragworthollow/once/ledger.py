"""Keep the records of keys as long as a repeat may come."""

from collections.abc import Iterable

from ragworthollow.conf import global_settings
from ragworthollow.once.assignment import get_range
from ragworthollow.once.record import KeyRecord, RecordState


class Ledger:
    """
    Remember keys until they are too old to be accepted again.

    Nothing is forgotten early: when the memory is used up, new keys are
    refused instead, since a forgotten key could run a second time.

    Parameters
    ----------
    limit_bytes : int
        Memory for records.
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
        """Return the record of a key."""
        return self._records.get(key)

    def is_full(self) -> bool:
        """Tell whether new keys have to be refused."""
        return self.size_bytes >= self._limit_bytes

    def put(self, record: KeyRecord) -> None:
        """Add or replace a record."""
        self.remove(record.key)
        self._records[record.key] = record
        self.size_bytes += record.get_size_bytes()

    def remove(self, key: str) -> None:
        """Drop a record, only when its call provably never ran."""
        known = self._records.pop(key, None)
        if known is not None:
            self.size_bytes -= known.get_size_bytes()

    def merge(self, records: Iterable[KeyRecord]) -> None:
        """Take over records; what is known here to have ended stays."""
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
        """Tell whether a call of this range is still running."""
        return any(
            record.state is RecordState.running
            for record in self.get_range_records(index)
        )

    def forget_old(self, now_wall_ms: float) -> int:
        """
        Drop ended records whose keys are refused as too old by now.

        Returns
        -------
        int
            Number of records dropped.
        """
        kept_ms = (
            global_settings.KEY_MAX_AGE_MS
            + 2 * global_settings.KEY_FUTURE_MARGIN_MS
        )
        old = [
            record.key
            for record in self._records.values()
            if record.state is not RecordState.running
            and record.born_ms + kept_ms < now_wall_ms
        ]
        for key in old:
            self.remove(key)
        return len(old)
