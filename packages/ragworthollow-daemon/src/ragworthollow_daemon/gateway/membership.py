"""Register this gateway and follow the others."""

import asyncio
import contextlib
from collections.abc import Mapping

import msgspec
from result import Err

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_error, log_event
from ragworthollow.membership.gateway_member import GatewayMember
from ragworthollow.membership.gateway_members import GatewayMembers
from ragworthollow.platform.stored import Stored
from ragworthollow.platform.transaction import Put
from ragworthollow.transport.host_messages import CHANGE_PATH, MemberChange
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.peer_notes import tell_peer

_PREFIX = 'gateways/'
_STEP = 'membership'


class Membership:
    """
    Keep a leased entry in the store.

    The entry says where this gateway can be reached; its lease ends by
    itself when the process does.

    Parameters
    ----------
    context : GatewayContext
        Of this process.
    members : GatewayMembers
        Where the others are kept.
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
        self._is_listed = False
        self._is_leaving = False
        self._timeline = 0
        self._is_restored = asyncio.Event()

    async def run(self) -> None:
        """Register and follow until cancelled."""
        announced_lease = 0
        while True:
            is_restored = self._is_restored.is_set()
            self._is_restored.clear()
            is_kept = await self._keep_entry()
            if is_kept and is_restored:
                # The store may have kept the lease and lost the entry.
                is_kept = await self._write_entry(self._lease)
            # Those to be told are known from the first read of the store.
            if self._is_listed and self._lease != announced_lease:
                announced_lease = self._lease
                await self._announce()
            pause_ms = (
                global_settings.MEMBER_RENEWAL_MS
                if is_kept and self._is_listed
                else global_settings.MEMBER_RETRY_MS
            )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause_ms / 1000):
                    await self._is_restored.wait()

    async def leave(self) -> None:
        """
        Tell the others that this process hosts no gate any more.

        Its entry stays while it serves: a gateway that starts meanwhile
        learns of it and tells it of itself.  Without, several processes that
        stop one after the other know of no host and each hosts every gate.
        """
        self._is_leaving = True
        self._members.leave()
        await self._announce()
        if self._lease:
            await self._write_entry(self._lease)

    async def end(self) -> None:
        """Give the entry up."""
        if not self._lease:
            return
        try:
            async with asyncio.timeout(
                global_settings.MEMBER_END_TIMEOUT_MS / 1000,
            ):
                await self._context.store.revoke_lease(self._lease)
        except TimeoutError:
            log_event('entry_left', step=_STEP, lease=self._lease)

    async def _keep_entry(self) -> bool:
        """Renew or write the entry, and tell whether that has worked."""
        if self._lease:
            renewed = await self._context.store.renew_lease(self._lease)
            # A renewal without an answer may have worked; only a plain no
            # calls for a new lease.
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
        if not await self._write_entry(lease):
            return False
        self._lease = lease
        log_event('registered', step=_STEP, lease=lease)
        return True

    async def _write_entry(self, lease: int) -> bool:
        entry = self._make_member()
        written = await self._context.store.commit(
            compares=(),
            puts=[
                Put(
                    key=f'{_PREFIX}{entry.instance}',
                    text=msgspec.json.encode(entry).decode(),
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
        """Tell every other member at once that this one joins or leaves."""
        member = self._make_member()
        change = MemberChange(member=member)
        others = [
            one
            for one in self._members.get_members().values()
            if one.instance != member.instance
        ]
        body = msgspec.json.encode(change)
        # One that does not hear it learns of the change from the store.
        await asyncio.gather(
            *(
                tell_peer(self._context, one, CHANGE_PATH, body)
                for one in others
            ),
        )

    def take(self, found: Mapping[str, Stored], proved_ms: float) -> None:
        """Take the members, known to be the newest as of `proved_ms`."""
        timeline = self._context.replica.view.timeline
        if timeline != self._timeline:
            self._timeline = timeline
            self._is_restored.set()
        earlier = self._members.get_members().keys()
        self._members.replace(_decode(found), proved_ms)
        self._is_listed = True
        present = self._members.get_members().keys()
        self._context.set_members(present, get_monotonic_ms())
        if earlier != present:
            log_event(
                'members_changed',
                step=_STEP,
                appeared=sorted(present - earlier),
                left=sorted(earlier - present),
            )

    def note_lost(self, _detail: str) -> None:
        """Note that the store could not be read; the members are kept."""
        self._context.metrics.count_event('member_list_unavailable')


def _decode(found: Mapping[str, Stored]) -> list[GatewayMember]:
    members = []
    for key, stored in found.items():
        if not key.startswith(_PREFIX):
            continue
        try:
            member = msgspec.json.decode(stored.text, type=GatewayMember)
        except msgspec.DecodeError as error:
            log_error(
                'member_unreadable',
                step=_STEP,
                peer=key,
                error=str(error),
            )
            continue
        members.append(member)
    return members
