"""Register this gateway in the store and track the other gateways."""

import asyncio
import contextlib
from collections.abc import Mapping

import msgspec
from result import Err

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.logs.unreadable_records import UnreadableRecords
from ragworthollow.membership.gateway_member import GatewayMember
from ragworthollow.membership.gateway_members import GatewayMembers
from ragworthollow.platform.stored import Stored
from ragworthollow.platform.transaction import Put
from ragworthollow.transport.host_messages import CHANGE_PATH, MemberChange
from ragworthollow.utils import decode_json, get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.peer_notifications import notify_peer

_PREFIX = 'gateways/'
_STEP = 'membership'


class Membership:
    """
    Maintain this gateway's leased record in the store.

    The record holds the address at which peers reach this gateway.  Its lease
    expires if the process dies.

    Parameters
    ----------
    context : GatewayContext
        Shared state of this gateway.
    members : GatewayMembers
        Members of the cluster, updated from the store.
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        members: GatewayMembers,
    ) -> None:
        self._context = context
        self._members = members
        self._lease = 0
        self._has_member_list = False
        self._is_leaving = False
        self._timeline = 0
        self._unreadable = UnreadableRecords(
            event='member_unreadable', step=_STEP
        )
        self._decoded: dict[str, tuple[Stored, GatewayMember | None]] = {}
        self._store_restored = asyncio.Event()

    async def run(self) -> None:
        """Register this gateway and renew its record until cancelled."""
        announced_lease = 0
        while True:
            was_restored = self._store_restored.is_set()
            self._store_restored.clear()
            is_registered = await self._ensure_record()
            if is_registered and was_restored:
                # A restored store may have the lease but not the record.
                is_registered = await self._write_record(self._lease)
            # The peers to notify are known after the first read of the store.
            if self._has_member_list and self._lease != announced_lease:
                announced_lease = self._lease
                await self._announce()
            pause_ms = (
                global_settings.MEMBER_RENEWAL_MS
                if is_registered and self._has_member_list
                else global_settings.MEMBER_RETRY_MS
            )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause_ms / 1000):
                    await self._store_restored.wait()

    async def leave(self) -> None:
        """
        Announce that this process no longer hosts schedulers.

        The record stays while the process serves, so that a gateway that
        starts in the meantime learns about it and announces itself to it.
        Otherwise several processes that stop one after the other would know
        of no other host, and each would host every scheduler.
        """
        self._is_leaving = True
        self._members.leave()
        await self._announce()
        if self._lease:
            await self._write_record(self._lease)

    async def end(self) -> None:
        """Revoke the lease, which removes the record from the store."""
        if not self._lease:
            return
        try:
            async with asyncio.timeout(
                global_settings.MEMBER_END_TIMEOUT_MS / 1000,
            ):
                await self._context.store.revoke_lease(self._lease)
        except TimeoutError:
            log_event('entry_left', step=_STEP, lease=self._lease)

    async def _ensure_record(self) -> bool:
        """Renew or write the record, and return whether that succeeded."""
        if self._lease:
            renewed = await self._context.store.renew_lease(self._lease)
            # A renewal without a response may have succeeded; only an explicit
            # refusal requires a new lease.
            if isinstance(renewed, Err) or renewed.ok_value:
                return not isinstance(renewed, Err)
            log_event('lease_lapsed', step=_STEP, lease=self._lease)
        self._lease = 0
        granted = await self._context.store.grant_lease(
            global_settings.MEMBER_LEASE_MS,
        )
        if isinstance(granted, Err):
            return False
        lease = granted.ok_value
        if not await self._write_record(lease):
            return False
        self._lease = lease
        log_event('registered', step=_STEP, lease=lease)
        return True

    async def _write_record(self, lease: int) -> bool:
        member = self._make_member()
        written = await self._context.store.commit(
            compares=(),
            puts=[
                Put(
                    key=f'{_PREFIX}{member.instance}',
                    text=msgspec.json.encode(member).decode(),
                    lease=lease,
                ),
            ],
        )
        if isinstance(written, Err):
            self._context.metrics.count_event('registration_failed')
        return not isinstance(written, Err)

    def _make_member(self) -> GatewayMember:
        settings = self._context.settings
        return GatewayMember(
            instance=settings.instance,
            incarnation=self._context.incarnation,
            peer_address=settings.peer_address,
            failure_domain=settings.failure_domain,
            is_leaving=self._is_leaving,
            capacity=settings.get_capacity(),
        )

    async def _announce(self) -> None:
        """Notify all other members directly that this one joins or leaves."""
        member = self._make_member()
        change = MemberChange(member=member)
        peers = [
            peer
            for peer in self._members.get_members().values()
            if peer.instance != member.instance
        ]
        body = msgspec.json.encode(change)
        # A peer that misses the notification learns of it from the store.
        await asyncio.gather(
            *(
                notify_peer(self._context, peer, CHANGE_PATH, body)
                for peer in peers
            ),
        )

    def apply_entries(
        self, entries: Mapping[str, Stored], confirmed_ms: float
    ) -> None:
        """Apply the list of members, known to be current at `confirmed_ms`."""
        timeline = self._context.replica.view.timeline
        if timeline != self._timeline:
            self._timeline = timeline
            self._store_restored.set()
        previous = self._members.get_members().keys()
        self._members.replace(self._decode(entries), confirmed_ms)
        self._has_member_list = True
        current = self._members.get_members().keys()
        self._context.set_members(current, get_monotonic_ms())
        if previous != current:
            log_event(
                'members_changed',
                step=_STEP,
                appeared=sorted(current - previous),
                left=sorted(previous - current),
            )

    def handle_store_unavailable(self, _detail: str) -> None:
        """Record that the store could not be read, and keep the members."""
        self._context.metrics.count_event('member_list_unavailable')

    def _decode(self, entries: Mapping[str, Stored]) -> list[GatewayMember]:
        """Decode records, reusing earlier results for unchanged ones."""
        decoded = {}
        for key, stored in entries.items():
            if not key.startswith(_PREFIX):
                continue
            previous, member = self._decoded.get(key, (Stored(), None))
            if not stored.is_same_write(previous):
                member = self._decode_member(key, stored)
            decoded[key] = (stored, member)
        self._unreadable.end_list()
        self._decoded = decoded
        return [member for _, member in decoded.values() if member is not None]

    def _decode_member(self, key: str, stored: Stored) -> GatewayMember | None:
        try:
            return decode_json(stored.text, GatewayMember)
        except msgspec.DecodeError as error:
            self._unreadable.record(key, str(error))
            return None
