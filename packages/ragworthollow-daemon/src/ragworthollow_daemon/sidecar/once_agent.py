"""Keep the ownership of key ranges up to date."""

import asyncio

import msgspec
from result import Err

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.once import KeyRegistry, Ownership
from ragworthollow.once.peer_messages import RecordTransfer
from ragworthollow.once.plan import Plan, PlatformView, Step
from ragworthollow.once.planner import plan_step
from ragworthollow.platform.transaction import Compare, Put
from ragworthollow.utils import get_monotonic_ms, get_wall_ms
from ragworthollow_daemon.process_context import ProcessContext
from ragworthollow_daemon.shutdown_limit import ShutdownLimit
from ragworthollow_daemon.sidecar.assignment_reader import (
    AssignmentReader,
    Members,
)
from ragworthollow_daemon.sidecar.member_client import MemberClient
from ragworthollow_daemon.sidecar.member_coordinator import MemberCoordinator

_MILLISECONDS = 1000
# Share of the limit of a shutdown that is kept for releasing the lease.
_RELEASE_SHARE = 0.1


class OnceAgent:
    """
    Renew the lease, read the assignment and apply one change at a time.

    Parameters
    ----------
    context : ProcessContext
        Context of this process.
    ownership : Ownership
        Decides which keys this process owns.
    registry : KeyRegistry
        Key records, which are transferred together with their ranges.
    pool : str
        Pool whose assignment is maintained.
    """

    def __init__(
        self,
        *,
        context: ProcessContext,
        ownership: Ownership,
        registry: KeyRegistry,
        pool: str,
    ) -> None:
        self._context = context
        self._ownership = ownership
        self._registry = registry
        self._name = context.settings.instance
        self._client = MemberClient(session=context.session)
        self._reader = AssignmentReader(
            context=context,
            ownership=ownership,
            pool=pool,
        )
        self._coordinator = MemberCoordinator(
            context=context,
            ownership=ownership,
            client=self._client,
        )
        self._uncertain_write: Compare | None = None
        self._is_platform_up = True
        self._wake = asyncio.Event()
        self._lock = asyncio.Lock()

    async def step(self) -> None:
        """Renew the lease, read the assignment and apply at most one change."""
        async with self._lock:
            await self._step()

    async def refresh_assignment(self) -> None:
        """Read the assignment again after a member reported a newer epoch."""
        await self._reader.read()

    async def leave(self, limit: ShutdownLimit) -> bool:
        """
        Transfer all ranges to other members and release the lease.

        Parameters
        ----------
        limit : ShutdownLimit
            Limit of the stop of the process.

        Returns
        -------
        bool
            False if some ranges were not transferred; the next owner answers
            their keys as unknown.
        """
        # Ranges that nobody takes must not use up the time in which the lease
        # is released.
        reserve_ms = limit.get_remaining_ms() * _RELEASE_SHARE
        while (
            self._ownership.owns_any() and limit.get_remaining_ms() > reserve_ms
        ):
            self._wake.set()
            await _sleep(global_settings.LEAVING_INTERVAL_MS)
        is_clean = not self._ownership.owns_any()
        await limit.run(self._end_membership())
        log_event(
            'ranges_left',
            step='once.leave',
            peer=self._name,
            is_clean=is_clean,
        )
        return is_clean

    async def pause(self) -> None:
        """Wait for the next interval, or until a change or a shutdown."""
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

    async def _end_membership(self) -> None:
        await self.step()
        await self._reader.lease.release()

    async def _step(self) -> None:
        self._wake.clear()
        members = await self._reader.refresh()
        self._is_platform_up = members is not None
        if members is None:
            self._context.metrics.count_event('platform_unavailable')
            await self._coordinator.request_promises()
            return
        await self._coordinator.introduce(members)
        plan = plan_step(self._ownership, self._get_view(members))
        if plan.step is not Step.nothing:
            await self._execute(plan)

    async def _execute(self, plan: Plan) -> None:
        if plan.step is Step.move:
            await self._move_ranges(plan)
        else:
            await self._commit(plan)
        self._wake.set()

    async def _move_ranges(self, plan: Plan) -> None:
        """Stop running keys of the ranges, transfer records, then commit."""
        self._ownership.moving |= plan.ranges
        if await self._transfer_records(plan):
            await self._commit(plan)
        elif not self._has_uncertain_write():
            self._ownership.moving = frozenset()

    def _has_uncertain_write(self) -> bool:
        """
        Return whether an earlier write may still take effect.

        The response to a write can be lost, and the write can take effect
        even after a later read. Because the write compares the revision of
        the assignment, only a changed assignment shows that it can no longer
        apply. Until then the ranges that it would move stay closed: a key run
        meanwhile would be missing from the records that were transferred to
        the next owner.
        """
        return self._uncertain_write == self._reader.compare_assignment()

    async def _commit(self, plan: Plan) -> None:
        compares = [self._reader.compare_assignment()]
        if plan.absent:
            key = self._reader.get_member_key(plan.absent)
            compares.append(Compare(key=key))
            self._ownership.takeover_target = plan.absent
        text = msgspec.json.encode(plan.assignment).decode()
        written = await self._context.key_value.commit(
            compares=compares,
            puts=[Put(key=self._reader.assignment_key, text=text)],
        )
        if isinstance(written, Err):
            self._uncertain_write = self._reader.compare_assignment()
        elif written.ok_value:
            self._report(plan)
            self._ownership.apply_assignment(plan.assignment)
            await self._coordinator.announce()
        elif not self._has_uncertain_write():
            self._ownership.takeover_target = ''
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

    async def _transfer_records(self, plan: Plan) -> bool:
        if not await self._wait_until_idle(plan):
            return False
        moved = plan.assignment.ranges[min(plan.ranges)]
        target = plan.assignment.get_member(plan.target)
        records = [
            record
            for index in plan.ranges
            for record in self._registry.get_range_records(index)
        ]
        reply = await self._client.send_records(
            target.address,
            RecordTransfer(
                instance=self._name,
                incarnation=moved.incarnation,
                records=tuple(records),
            ),
        )
        return reply is not None and reply.incarnation == moved.incarnation

    async def _wait_until_idle(self, plan: Plan) -> bool:
        end_ms = get_monotonic_ms() + global_settings.MOVE_WAIT_MS
        while any(map(self._registry.has_running, plan.ranges)):
            if get_monotonic_ms() >= end_ms:
                return False
            await _sleep(global_settings.LEAVING_INTERVAL_MS)
        return True

    def _get_view(self, members: Members) -> PlatformView:
        return PlatformView(
            alive=members,
            now_ms=get_monotonic_ms(),
            wall_ms=get_wall_ms(),
            address=self._context.settings.listen.get_address(),
            leaving=self._context.drain.is_draining,
        )


async def _sleep(pause_ms: float) -> None:
    await asyncio.sleep(pause_ms / _MILLISECONDS)
