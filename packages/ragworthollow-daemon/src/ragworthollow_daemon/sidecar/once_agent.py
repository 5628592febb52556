"""Keep the ownership of key ranges up to date."""

import asyncio
from collections.abc import Mapping

import msgspec
from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.once import Ledger, Ownership
from ragworthollow.once.assignment import decode_assignment
from ragworthollow.once.member_key import MemberKey
from ragworthollow.once.peer_messages import MemberQuestion, RecordTransfer
from ragworthollow.once.plan import Plan, Step, View, plan_step
from ragworthollow.platform import Stored
from ragworthollow.platform.transaction import Compare, Put
from ragworthollow.utils import get_monotonic_ms, get_wall_ms
from result import Err, Ok

from ragworthollow_daemon.process_context import ProcessContext
from ragworthollow_daemon.sidecar.member_client import MemberClient
from ragworthollow_daemon.sidecar.member_lease import MemberLease

_MILLISECONDS = 1000
_ABSENT = Stored()


class OnceAgent:
    """
    Renew the lease, read the record and carry out one change at a time.

    Parameters
    ----------
    context : ProcessContext
        Of this process.
    ownership : Ownership
        Decisions.
    ledger : Ledger
        Records, to be handed over with their ranges.
    pool : str
        Pool whose assignment is kept.
    """

    def __init__(
        self,
        *,
        context: ProcessContext,
        ownership: Ownership,
        ledger: Ledger,
        pool: str,
    ) -> None:
        self._context = context
        self._ownership = ownership
        self._ledger = ledger
        self._prefix = f'once/{pool}/'
        self._name = context.settings.instance
        self._address = context.settings.listen.get_address()
        self._clients = MemberClient(session=context.session)
        self._record = _ABSENT
        self._wake = asyncio.Event()
        self._lock = asyncio.Lock()
        self.lease = MemberLease(
            key_value=context.key_value,
            key=self._get_member_name(self._name),
            ttl_ms=context.settings.lease_ttl_ms,
        )

    async def step(self) -> None:
        """Bring everything up to date once."""
        async with self._lock:
            await self._step()

    async def _step(self) -> None:
        self._wake.clear()
        members = await self._refresh()
        if members is None:
            self._context.metrics.count_event('platform_unavailable')
            await self._ask_promises()
            return
        await self._introduce(members)
        plan = plan_step(self._ownership, self._get_view(members))
        if plan.step is not Step.nothing:
            await self._carry_out(plan)

    async def learn(self) -> None:
        """Read the record again, since a member says that it has changed."""
        await self._read()

    async def leave(self, limit_ms: float) -> bool:
        """
        Hand all ranges over and give the lease back.

        Parameters
        ----------
        limit_ms : float
            Longest wait for the platform and the other members.

        Returns
        -------
        bool
            False when ranges stay behind; their keys are answered as
            unknown by the next owner.
        """
        end_ms = get_monotonic_ms() + limit_ms
        while self._owns_any() and get_monotonic_ms() < end_ms:
            self._wake.set()
            await asyncio.sleep(
                global_settings.LEAVING_INTERVAL_MS / _MILLISECONDS,
            )
        is_clean = not self._owns_any()
        await self.step()
        await self.lease.release()
        return is_clean

    def forget_old(self) -> None:
        """Drop records that no accepted repeat can need."""
        self._ledger.forget_old(get_wall_ms())

    async def _refresh(self) -> Mapping[str, MemberKey] | None:
        now_ms = get_monotonic_ms()
        if self.lease.lease and self.lease.is_due(now_ms):
            renewed = await self.lease.renew()
            if isinstance(renewed, Err):
                return None
            if not renewed.ok_value:
                self._ownership.lose()
                self._context.metrics.count_event('lease_lapsed')
                log_event('lease_lapsed', step='once', peer=self._name)
        found = await self._read()
        if found is None or not await self._show_member(found):
            return None
        # The record was read after the renewal was sent, so that it lists
        # every member that joined before.
        self._ownership.confirm(self.lease.renewed_ms)
        return self._decode_members(found)

    async def _read(self) -> Mapping[str, Stored] | None:
        """Read the record and the member keys in one call."""
        found = await self._context.key_value.read_prefix(self._prefix)
        if isinstance(found, Err):
            return None
        record = found.ok_value.get(self._record_key, _ABSENT)
        if record.mod_revision > self._record.mod_revision:
            # A takeover of ours that is still on its way compares the old
            # revision and can no longer apply.
            self._ownership.taking = ''
        if record.mod_revision >= self._record.mod_revision:
            self._record = record
            self._ownership.learn(decode_assignment(record.text))
            self._ownership.moving = frozenset()
        return found.ok_value

    async def _show_member(self, found: Mapping[str, Stored]) -> bool:
        own = found.get(self._get_member_name(self._name), _ABSENT)
        if self.lease.lease:
            written = await self.lease.update(self._make_member(), own)
        else:
            written = await self.lease.acquire(
                self._make_member(),
                own,
                self._compare_record(),
            )
        return isinstance(written, Ok) and written.ok_value

    def _make_member(self) -> MemberKey:
        return MemberKey(
            incarnation=self._ownership.incarnation,
            address=self._address,
            leaving=self._context.drain.is_draining,
        )

    def _decode_members(
        self,
        found: Mapping[str, Stored],
    ) -> Mapping[str, MemberKey]:
        prefix = self._get_member_name('')
        members = {
            key.removeprefix(prefix): msgspec.json.decode(
                stored.text,
                type=MemberKey,
            )
            for key, stored in found.items()
            if key.startswith(prefix)
        }
        return {**members, self._name: self._make_member()}

    async def _carry_out(self, plan: Plan) -> None:
        if plan.step is Step.move and not await self._hand_records(plan):
            return
        compares = [self._compare_record()]
        if plan.absent:
            key = self._get_member_name(plan.absent)
            compares.append(Compare(key=key, target='create'))
            self._ownership.taking = plan.absent
        text = msgspec.json.encode(plan.assignment).decode()
        written = await self._context.key_value.commit(
            compares=compares,
            puts=[Put(key=self._record_key, text=text)],
        )
        if isinstance(written, Ok):
            self._ownership.taking = ''
        if isinstance(written, Ok) and written.ok_value:
            self._context.metrics.count_event(f'assignment_{plan.step}')
            log_event(
                'assignment_changed',
                step=f'once.{plan.step}',
                peer=plan.target or plan.absent or self._name,
                epoch=plan.assignment.epoch,
                ranges=len(plan.ranges),
            )
        # Whatever the answer, the next read tells what is in force.
        await self._read()
        self._wake.set()

    async def _hand_records(self, plan: Plan) -> bool:
        """Stop running keys of the ranges, then send what is known of them."""
        self._ownership.moving = plan.ranges
        end_ms = get_monotonic_ms() + global_settings.MOVE_WAIT_MS
        while any(map(self._ledger.has_running, plan.ranges)):
            if get_monotonic_ms() >= end_ms:
                self._ownership.moving = frozenset()
                return False
            await asyncio.sleep(
                global_settings.LEAVING_INTERVAL_MS / _MILLISECONDS,
            )
        moved = plan.assignment.ranges[min(plan.ranges)]
        target = plan.assignment.get_member(plan.target)
        records = [
            record
            for index in plan.ranges
            for record in self._ledger.get_range_records(index)
        ]
        reply = await self._clients.send_records(
            target.address,
            RecordTransfer(
                instance=self._name,
                incarnation=moved.incarnation,
                records=tuple(records),
            ),
        )
        if reply is None or reply.incarnation != moved.incarnation:
            self._ownership.moving = frozenset()
            return False
        return True

    async def _ask_promises(self) -> None:
        """Go on without the platform while every other member allows it."""
        now_ms = get_monotonic_ms()
        lease_ms = self._context.settings.lease_ttl_ms
        left_ms = self._ownership.get_certain_until_ms() - now_ms
        known = self._ownership.assignment
        if left_ms > lease_ms / 2 or not self._owns_any():
            return
        others = [one for one in known.members if one.instance != self._name]
        question = MemberQuestion(instance=self._name, epoch=known.epoch)
        replies = await asyncio.gather(
            *(self._clients.ask_promise(one, question) for one in others),
        )
        for reply in replies:
            if reply is not None and reply.granted:
                self._ownership.accept_grant(reply.incarnation, now_ms)
                self._context.metrics.count_event('promise_received')

    async def _introduce(self, members: Mapping[str, MemberKey]) -> None:
        known = self._ownership.assignment
        if self._ownership.get_own_member() is None:
            return
        question = MemberQuestion(instance=self._name, epoch=known.epoch)
        for member in known.members:
            name = member.instance
            if name == self._name or self._ownership.is_known_by(name):
                continue
            if name not in members:
                continue
            reply = await self._clients.introduce(member, question)
            if reply is not None and reply.epoch >= known.epoch:
                self._ownership.note_known_by(name)

    async def pause(self) -> None:
        """Wait until there may be something to do."""
        interval_ms = min(
            self._context.settings.lease_ttl_ms
            / global_settings.RENEWALS_PER_LEASE,
            global_settings.OWNERSHIP_INTERVAL_MS,
        )
        try:
            async with asyncio.timeout(interval_ms / _MILLISECONDS):
                await self._wake.wait()
        except TimeoutError:
            return

    def _get_view(self, members: Mapping[str, MemberKey]) -> View:
        return View(
            alive=members,
            now_ms=get_monotonic_ms(),
            wall_ms=get_wall_ms(),
            address=self._address,
            leaving=self._context.drain.is_draining,
        )

    def _owns_any(self) -> bool:
        return any(
            self._ownership.is_ours(owner)
            for owner in self._ownership.assignment.ranges
        )

    @property
    def _record_key(self) -> str:
        return f'{self._prefix}assignment'

    def _get_member_name(self, instance: str) -> str:
        return f'{self._prefix}members/{instance}'

    def _compare_record(self) -> Compare:
        return Compare(
            key=self._record_key,
            revision=self._record.mod_revision,
        )
