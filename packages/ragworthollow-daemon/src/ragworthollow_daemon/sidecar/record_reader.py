"""Read the assignment and show that this sidecar is alive."""

from collections.abc import Mapping

import msgspec
from result import Err, Ok

from ragworthollow.logs.events import log_event
from ragworthollow.once import Ownership
from ragworthollow.once.assignment import decode_assignment
from ragworthollow.once.member_key import MemberKey
from ragworthollow.platform import Stored
from ragworthollow.platform.transaction import Compare, compare_with
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.process_context import ProcessContext
from ragworthollow_daemon.sidecar.member_lease import MemberLease

_ABSENT = Stored()

Members = Mapping[str, MemberKey]


class RecordReader:
    """
    Keep the lease alive and the ownership as the platform has it.

    Parameters
    ----------
    context : ProcessContext
        Of this process.
    ownership : Ownership
        Learns from what is read.
    pool : str
        Pool whose assignment is kept.
    """

    def __init__(
        self,
        *,
        context: ProcessContext,
        ownership: Ownership,
        pool: str,
    ) -> None:
        self._context = context
        self._ownership = ownership
        self._prefix = f'once/{pool}/'
        self._name = context.settings.instance
        self._record = _ABSENT
        self.record_key = f'{self._prefix}assignment'
        self.lease = MemberLease(
            key_value=context.key_value,
            key=self.get_member_key(self._name),
            ttl_ms=context.settings.lease_ttl_ms,
        )

    async def refresh(self) -> Members | None:
        """
        Renew the lease, then read the record and the members.

        Returns
        -------
        mapping or None
            Members that are alive; None when the platform gave no answer or
            our own key is not in place.
        """
        if self.lease.lease and self.lease.is_due(get_monotonic_ms()):
            renewed = await self.lease.renew()
            if isinstance(renewed, Err):
                return None
            if not renewed.ok_value:
                self._ownership.lose()
                self._context.metrics.count_event('lease_lapsed')
                log_event('lease_lapsed', step='once', peer=self._name)
        found = await self.read()
        if found is None or not await self._show_member(found):
            return None
        # The record was read after the renewal was sent, so that it lists
        # every member that joined before.
        self._ownership.confirm(self.lease.renewed_ms)
        return self._decode_members(found)

    async def read(self) -> Mapping[str, Stored] | None:
        """Read the record and the member keys in one call."""
        found = await self._context.key_value.read_prefix(self._prefix)
        if isinstance(found, Err):
            return None
        keys = found.ok_value.found
        absent = Stored(timeline=found.ok_value.timeline)
        record = keys.get(self.record_key, absent)
        if record.get_position() > self._record.get_position():
            # A write of ours that is still on its way compares the old
            # revision and can no longer apply.
            self._ownership.taking = ''
            self._ownership.moving = frozenset()
        if record.get_position() >= self._record.get_position():
            self._record = record
            self._ownership.learn(decode_assignment(record.text))
        return keys

    def compare_record(self) -> Compare:
        """Require that the record is still the one last read."""
        return compare_with(self.record_key, self._record)

    def get_member_key(self, instance: str) -> str:
        """Return the key that shows a member."""
        return f'{self._prefix}members/{instance}'

    async def _show_member(self, found: Mapping[str, Stored]) -> bool:
        own = found.get(self.get_member_key(self._name), _ABSENT)
        if self.lease.lease:
            written = await self.lease.update(self._make_member(), own)
        else:
            written = await self.lease.acquire(
                self._make_member(),
                own,
                self.compare_record(),
            )
        return isinstance(written, Ok) and written.ok_value

    def _make_member(self) -> MemberKey:
        return MemberKey(
            incarnation=self._ownership.incarnation,
            address=self._context.settings.listen.get_address(),
            leaving=self._context.drain.is_draining,
        )

    def _decode_members(self, found: Mapping[str, Stored]) -> Members:
        prefix = self.get_member_key('')
        members = {
            key.removeprefix(prefix): msgspec.json.decode(
                stored.text,
                type=MemberKey,
            )
            for key, stored in found.items()
            if key.startswith(prefix)
        }
        return {**members, self._name: self._make_member()}
