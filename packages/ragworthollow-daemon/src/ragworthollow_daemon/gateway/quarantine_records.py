"""Keep in the store which requests are quarantined."""

import asyncio
from collections.abc import Mapping

import msgspec
from result import Err

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_error, log_event
from ragworthollow.platform.stored import Stored
from ragworthollow.platform.transaction import Put
from ragworthollow.quarantine import CrashReport
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext

_PREFIX = 'quarantine/'
_STEP = 'quarantine'
_MILLISECONDS = 1000


class QuarantineRecords:
    """
    Write each verdict once, and learn those that are there.

    Gateways tell each other of evidence.  When all end at the same moment, it
    would be gone, and learnt again at the price of further instances.

    Parameters
    ----------
    context : GatewayContext
        Of this process.
    """

    def __init__(self, *, context: GatewayContext) -> None:
        self._context = context
        self._learned: dict[str, Stored] = {}
        self._timeline = 0

    async def run(self) -> None:
        """Bring verdicts that were changed here to the store, for ever."""
        changed = self._context.quarantine.changed_verdicts
        while True:
            fingerprint = await changed.get()
            while not await self._bring(fingerprint):
                pause_s = global_settings.MEMBER_RETRY_MS / _MILLISECONDS
                await asyncio.sleep(pause_s)

    def take(self, found: Mapping[str, Stored], _asked_ms: float) -> None:
        """Take all keys of the store."""
        records = {
            key: stored
            for key, stored in found.items()
            if key.startswith(_PREFIX)
        }
        self._learn_changed(records)
        timeline = self._context.replica.view.timeline
        if timeline != self._timeline:
            self._timeline = timeline
            self._bring_lost()
        self._learned = records

    def note_lost(self, detail: str) -> None:
        """Note that the store could not be read; what is known holds."""

    def _bring_lost(self) -> None:
        """Bring verdicts again that a restored store has lost."""
        found = self._context.replica.view.found
        for one in self._context.quarantine.list_quarantined():
            key = f'{_PREFIX}{one.fingerprint}'
            is_writer = self._context.throttle.senders.is_chosen(
                key,
                1,
                get_monotonic_ms(),
            )
            if is_writer and key not in found:
                self._context.quarantine.changed_verdicts.put_nowait(
                    one.fingerprint,
                )

    def _learn_changed(self, records: Mapping[str, Stored]) -> None:
        for key, stored in records.items():
            if not stored.is_same_write(self._learned.get(key, Stored())):
                self._learn(key, stored)

    def _learn(self, key: str, stored: Stored) -> None:
        try:
            report = msgspec.json.decode(stored.text, type=CrashReport)
        except msgspec.DecodeError as error:
            log_error(
                'quarantine_record_unreadable',
                step=_STEP,
                peer=key,
                error=str(error),
            )
            return
        self._context.quarantine.take_report(report)

    async def _bring(self, fingerprint: str) -> bool:
        """Write or remove a record, and tell whether that has worked."""
        left_ms = self._context.quarantine.get_left_ms(fingerprint)
        key = f'{_PREFIX}{fingerprint}'
        if not left_ms:
            return self._note(
                await self._context.store.commit(
                    compares=(),
                    puts=(),
                    removes=(key,),
                ),
            )
        granted = await self._context.store.grant_lease(
            int(min(left_ms, global_settings.LONGEST_LEASE_MS)),
        )
        if isinstance(granted, Err):
            return self._note(granted)
        record = Put(
            key=key,
            text=self._context.quarantine.encode_record(fingerprint),
            lease=granted.ok_value,
        )
        return self._note(
            await self._context.store.commit(compares=(), puts=(record,)),
        )

    def _note(self, brought) -> bool:
        if not isinstance(brought, Err):
            return True
        self._context.metrics.count_event('quarantine_record_failed')
        log_event(
            'quarantine_record_failed',
            step=_STEP,
            peer='store',
            error=str(brought.err_value),
        )
        return False
