"""Keep the ownership of key ranges up to date."""

import asyncio

import msgspec
from result import Err

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.once import Ledger, Ownership
from ragworthollow.once.peer_messages import RecordTransfer
from ragworthollow.once.plan import Plan, Step, View
from ragworthollow.once.planner import plan_step
from ragworthollow.platform.transaction import Compare, Put
from ragworthollow.utils import get_monotonic_ms, get_wall_ms
from ragworthollow_daemon.process_context import ProcessContext
from ragworthollow_daemon.sidecar.member_client import MemberClient
from ragworthollow_daemon.sidecar.member_relations import MemberRelations
from ragworthollow_daemon.sidecar.record_reader import Members, RecordReader

_MILLISECONDS = 1000


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
        self._name = context.settings.instance
        self._clients = MemberClient(session=context.session)
        self._reader = RecordReader(
            context=context,
            ownership=ownership,
            pool=pool,
        )
        self._relations = MemberRelations(
            context=context,
            ownership=ownership,
            clients=self._clients,
        )
        self._unsettled: Compare | None = None
        self._is_platform_up = True
        self._wake = asyncio.Event()
        self._lock = asyncio.Lock()

    async def step(self) -> None:
        """Bring everything up to date once."""
        async with self._lock:
            await self._step()

    async def learn(self) -> None:
        """Read the record again, since a member says that it has changed."""
        await self._reader.read()

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
        while self._ownership.owns_any() and get_monotonic_ms() < end_ms:
            self._wake.set()
            await _sleep(global_settings.LEAVING_INTERVAL_MS)
        is_clean = not self._ownership.owns_any()
        await self.step()
        await self._reader.lease.release()
        log_event(
            'ranges_left',
            step='once.leave',
            peer=self._name,
            is_clean=is_clean,
        )
        return is_clean

    async def pause(self) -> None:
        """Wait until there may be something to do."""
        interval_ms = min(
            self._context.settings.lease_ttl_ms
            / global_settings.RENEWALS_PER_LEASE,
            global_settings.OWNERSHIP_INTERVAL_MS
            if self._is_platform_up
            else global_settings.OWNERSHIP_OUTAGE_INTERVAL_MS,
        )
        try:
            async with asyncio.timeout(interval_ms / _MILLISECONDS):
                await self._wake.wait()
        except TimeoutError:
            return

    async def _step(self) -> None:
        self._wake.clear()
        members = await self._reader.refresh()
        self._is_platform_up = members is not None
        if members is None:
            self._context.metrics.count_event('platform_unavailable')
            await self._relations.ask_promises()
            return
        await self._relations.introduce(members)
        plan = plan_step(self._ownership, self._get_view(members))
        if plan.step is not Step.nothing:
            await self._carry_out(plan)

    async def _carry_out(self, plan: Plan) -> None:
        if plan.step is Step.move:
            await self._move(plan)
        else:
            await self._commit(plan)
        self._wake.set()

    async def _move(self, plan: Plan) -> None:
        """Stop running keys of the ranges, hand them over, then let go."""
        self._ownership.moving |= plan.ranges
        if await self._hand_records(plan):
            await self._commit(plan)
        elif not self._is_unsettled():
            self._ownership.moving = frozenset()

    def _is_unsettled(self) -> bool:
        """
        Tell whether a write of ours may still be on its way.

        The answer to a write can be lost, and the write can take effect
        even after a later read.  Only a changed record shows that it no
        longer can, since it compares the revision.  Until then the ranges it
        would move stay closed: a key run meanwhile would be missing in the
        records that the next owner has been given.
        """
        return self._unsettled == self._reader.compare_record()

    async def _commit(self, plan: Plan) -> None:
        compares = [self._reader.compare_record()]
        if plan.absent:
            key = self._reader.get_member_key(plan.absent)
            compares.append(Compare(key=key))
            self._ownership.taking = plan.absent
        text = msgspec.json.encode(plan.assignment).decode()
        written = await self._context.key_value.commit(
            compares=compares,
            puts=[Put(key=self._reader.record_key, text=text)],
        )
        if isinstance(written, Err):
            self._unsettled = self._reader.compare_record()
        elif written.ok_value:
            self._report(plan)
            self._ownership.learn(plan.assignment)
            await self._relations.announce()
        elif not self._is_unsettled():
            self._ownership.taking = ''
            self._ownership.moving = frozenset()
        await self._reader.read()

    def _report(self, plan: Plan) -> None:
        self._context.metrics.count_event(f'assignment_{plan.step}')
        log_event(
            'assignment_changed',
            step=f'once.{plan.step}',
            peer=plan.target or plan.absent or self._name,
            epoch=plan.assignment.epoch,
            ranges=len(plan.ranges),
        )

    async def _hand_records(self, plan: Plan) -> bool:
        if not await self._wait_idle(plan):
            return False
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
        return reply is not None and reply.incarnation == moved.incarnation

    async def _wait_idle(self, plan: Plan) -> bool:
        end_ms = get_monotonic_ms() + global_settings.MOVE_WAIT_MS
        while any(map(self._ledger.has_running, plan.ranges)):
            if get_monotonic_ms() >= end_ms:
                return False
            await _sleep(global_settings.LEAVING_INTERVAL_MS)
        return True

    def _get_view(self, members: Members) -> View:
        return View(
            alive=members,
            now_ms=get_monotonic_ms(),
            wall_ms=get_wall_ms(),
            address=self._context.settings.listen.get_address(),
            leaving=self._context.drain.is_draining,
        )


async def _sleep(pause_ms: float) -> None:
    await asyncio.sleep(pause_ms / _MILLISECONDS)
