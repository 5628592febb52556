"""Persist in the store which requests are quarantined."""

import asyncio
from collections.abc import Mapping

import msgspec
from result import Err

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.logs.unreadable_records import UnreadableRecords
from ragworthollow.platform.stored import Stored
from ragworthollow.platform.transaction import Put
from ragworthollow.quarantine import CrashReport
from ragworthollow.utils import decode_json
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.quarantine_change import QuarantineChange

_PREFIX = 'quarantine/'
_STEP = 'quarantine'
_MILLISECONDS = 1000


class QuarantineRecords:
    """
    Write each quarantine decision once, and apply those in the store.

    Gateways exchange evidence among each other.  Without the store it would
    be lost if all of them terminated at the same time, and could only be
    gathered again by crashing further instances.

    Parameters
    ----------
    context : GatewayContext
        State of this gateway.
    """

    def __init__(self, *, context: GatewayContext) -> None:
        self._context = context
        self._applied_records: dict[str, Stored] = {}
        self._timeline = 0
        self._unreadable = UnreadableRecords(
            event='quarantine_record_unreadable', step=_STEP
        )

    async def run(self) -> None:
        """Write the decisions of this gateway to the store until cancelled."""
        changes = self._context.quarantine.changes
        while True:
            change = await changes.get()
            while self._is_missing(change) and not await self._write_record(
                change.fingerprint
            ):
                pause_s = global_settings.MEMBER_RETRY_MS / _MILLISECONDS
                await asyncio.sleep(pause_s)

    def apply_entries(
        self, entries: Mapping[str, Stored], _confirmed_ms: float
    ) -> None:
        """Apply all records of the store."""
        records = {
            key: stored
            for key, stored in entries.items()
            if key.startswith(_PREFIX)
        }
        self._apply_changed_records(records)
        timeline = self._context.replica.view.timeline
        if timeline != self._timeline:
            self._timeline = timeline
            self._requeue_lost()
        self._applied_records = records

    def handle_store_unavailable(self, detail: str) -> None:
        """Ignore an unavailable store; known decisions stay in effect."""

    def _requeue_lost(self) -> None:
        """Queue decisions again that a store lost when it was restored."""
        for request in self._context.quarantine.list_quarantined():
            change = QuarantineChange(
                fingerprint=request.fingerprint, is_own=False
            )
            if self._is_missing(change):
                self._context.quarantine.changes.put_nowait(change)

    def _is_missing(self, change: QuarantineChange) -> bool:
        """Tell whether this gateway has to write a change to the store."""
        key = f'{_PREFIX}{change.fingerprint}'
        return change.is_own or (
            key not in self._context.replica.view.entries
            and self._context.throttle.senders.is_ranked_first(key)
        )

    def _apply_changed_records(self, records: Mapping[str, Stored]) -> None:
        for key, stored in records.items():
            if not stored.is_same_write(
                self._applied_records.get(key, Stored())
            ):
                self._apply_record(key, stored)
        self._unreadable.end_list()

    def _apply_record(self, key: str, stored: Stored) -> None:
        try:
            report = decode_json(stored.text, CrashReport)
        except msgspec.DecodeError as error:
            self._unreadable.record(key, str(error))
            return
        self._context.quarantine.apply_report(report)

    async def _write_record(self, fingerprint: str) -> bool:
        """Write or remove a record, and return whether that succeeded."""
        remaining_ms = self._context.quarantine.get_quarantine_ms(fingerprint)
        key = f'{_PREFIX}{fingerprint}'
        if not remaining_ms:
            return self._check_write(
                await self._context.store.commit(
                    compares=(),
                    puts=(),
                    removes=(key,),
                ),
            )
        granted = await self._context.store.grant_lease(
            int(min(remaining_ms, global_settings.MAX_LEASE_MS)),
        )
        if isinstance(granted, Err):
            return self._check_write(granted)
        record = Put(
            key=key,
            text=self._context.quarantine.encode_record(fingerprint),
            lease=granted.ok_value,
        )
        return self._check_write(
            await self._context.store.commit(compares=(), puts=(record,)),
        )

    def _check_write(self, write_result) -> bool:
        if not isinstance(write_result, Err):
            return True
        self._context.metrics.count_event('quarantine_record_failed')
        log_event(
            'quarantine_record_failed',
            step=_STEP,
            peer='store',
            error=str(write_result.err_value),
        )
        return False
