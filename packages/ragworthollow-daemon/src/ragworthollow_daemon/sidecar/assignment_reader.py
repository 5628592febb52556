"""Read the assignment and keep the member key of this sidecar alive."""

from collections.abc import Mapping

import msgspec
from result import Err, Ok

from ragworthollow.logs.events import log_event
from ragworthollow.logs.unreadable_records import UnreadableRecords
from ragworthollow.once import Ownership
from ragworthollow.once.assignment import decode_assignment
from ragworthollow.once.member_key import MemberKey
from ragworthollow.platform import Stored
from ragworthollow.platform.transaction import Compare, compare_with
from ragworthollow.utils import decode_json, get_monotonic_ms
from ragworthollow_daemon.process_context import ProcessContext
from ragworthollow_daemon.sidecar.member_lease import MemberLease

_ABSENT = Stored()

Members = Mapping[str, MemberKey]


class AssignmentReader:
    """
    Renew the lease and update the ownership from the platform.

    Parameters
    ----------
    context : ProcessContext
        Context of this process.
    ownership : Ownership
        Updated from what is read.
    pool : str
        Pool whose assignment is read.
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
        self._stored_assignment = _ABSENT
        # The last assignment that could not be read.
        self._rejected = _ABSENT
        self._members: dict[str, tuple[Stored, MemberKey | None]] = {}
        self._unreadable = UnreadableRecords(
            event='once_record_unreadable', step='once'
        )
        self.assignment_key = f'{self._prefix}assignment'
        self.lease = MemberLease(
            key_value=context.key_value,
            key=self.get_member_key(self._name),
            ttl_ms=context.settings.lease_ttl_ms,
        )

    async def refresh(self) -> Members | None:
        """
        Renew the lease, then read the assignment and the members.

        Returns
        -------
        mapping or None
            Live members; None if the platform did not respond or the member
            key of this process could not be written.
        """
        if self.lease.lease and self.lease.is_due(get_monotonic_ms()):
            renewed = await self.lease.renew()
            if isinstance(renewed, Err):
                return None
            if not renewed.ok_value:
                self._ownership.handle_lease_expiry()
                self._context.metrics.count_event('lease_lapsed')
                log_event('lease_lapsed', step='once', peer=self._name)
        entries = await self.read()
        if entries is None or not await self._ensure_member_key(entries):
            return None
        # The assignment was read after the renewal was sent, so it lists every
        # member that joined before the renewal.
        self._ownership.confirm(self.lease.renewed_ms)
        return self._decode_members(entries)

    async def read(self) -> Mapping[str, Stored] | None:
        """Read the assignment and the member keys in one request."""
        result = await self._context.key_value.read_prefix(self._prefix)
        if isinstance(result, Err):
            return None
        entries = result.ok_value.entries
        absent = Stored(timeline=result.ok_value.timeline)
        stored = entries.get(self.assignment_key, absent)
        if stored.get_position() > self._stored_assignment.get_position():
            # A write of this process that is still in transit compares the
            # old revision and can no longer apply.
            self._ownership.takeover_target = ''
            self._ownership.moving = frozenset()
        if stored.get_position() >= self._stored_assignment.get_position():
            try:
                assignment = decode_assignment(stored.text)
            except msgspec.DecodeError as error:
                # Nobody knows the owners now, as without the platform.
                if not stored.is_same_write(self._rejected):
                    self._unreadable.record(self.assignment_key, str(error))
                    self._unreadable.end_list()
                self._rejected = stored
                return None
            self._stored_assignment = stored
            self._ownership.apply_assignment(assignment)
        return entries

    def compare_assignment(self) -> Compare:
        """Return the condition that the assignment is unchanged since read."""
        return compare_with(self.assignment_key, self._stored_assignment)

    def get_member_key(self, instance: str) -> str:
        """Return the key that announces a live member."""
        return f'{self._prefix}members/{instance}'

    async def _ensure_member_key(self, entries: Mapping[str, Stored]) -> bool:
        own = entries.get(self.get_member_key(self._name), _ABSENT)
        if self.lease.lease:
            written = await self.lease.update(self._make_member(), own)
        else:
            written = await self.lease.acquire(
                self._make_member(),
                own,
                self.compare_assignment(),
            )
        return isinstance(written, Ok) and written.ok_value

    def _make_member(self) -> MemberKey:
        return MemberKey(
            incarnation=self._ownership.incarnation,
            address=self._context.settings.listen.get_address(),
            leaving=self._context.drain.is_draining,
        )

    def _decode_members(self, entries: Mapping[str, Stored]) -> Members:
        """Decode members, reusing earlier results for unchanged ones."""
        prefix = self.get_member_key('')
        decoded = {}
        for key, stored in entries.items():
            if key.startswith(prefix):
                previous, member = self._members.get(key, (_ABSENT, None))
                if not stored.is_same_write(previous):
                    member = self._decode_member(key, stored)
                decoded[key] = (stored, member)
        self._unreadable.end_list()
        self._members = decoded
        readable = {
            name.removeprefix(prefix): known
            for name, (_, known) in decoded.items()
            if known is not None
        }
        return {**readable, self._name: self._make_member()}

    def _decode_member(self, key: str, stored: Stored) -> MemberKey | None:
        try:
            return decode_json(stored.text, MemberKey)
        except msgspec.DecodeError as error:
            # Nobody takes over from it while its key exists.
            self._unreadable.record(key, str(error))
            return None
