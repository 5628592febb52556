"""Find the sidecar that owns an idempotency key and query it."""

import asyncio

import aiohttp
import msgspec

from ragworthollow.conf import global_settings
from ragworthollow.once import Assignment, LookupAnswer, LookupState
from ragworthollow.platform.instance_list import InstanceEntry
from ragworthollow.routing import PeerState
from ragworthollow.transport import OnceKey
from ragworthollow.transport.bounded_reading import read_bounded
from ragworthollow.utils import decode_json, get_monotonic_ms
from ragworthollow.utils.message import Message
from ragworthollow_daemon.entry.pool_router import PoolRouter
from ragworthollow_daemon.process_context import ProcessContext, get_timeout

_LOOKUP_ATTEMPTS = 3
_REFRESH_SAMPLE_SIZE = 3
_MILLISECONDS = 1000
_UNCERTAIN = LookupAnswer(state=LookupState.uncertain)
_FAILURES = (
    aiohttp.ClientError,
    TimeoutError,
    msgspec.DecodeError,
    OSError,
)


class KeyRouter:
    """
    Route key lookups by the assignments that sidecars report.

    This needs no call to the platform: a sidecar that does not own the key
    says so, and every member of a pool knows the newest assignment or an
    older one.

    Parameters
    ----------
    context : ProcessContext
        Context of this process.
    pools : PoolRouter
        Router with the sidecars of every pool.
    """

    def __init__(self, *, context: ProcessContext, pools: PoolRouter) -> None:
        self._context = context
        self._pools = pools
        self._assignments: dict[str, Assignment] = {}

    async def find_owner(self, pool: str, key: str) -> PeerState | None:
        """Return the sidecar that owns a key by the last known assignment."""
        if pool not in self._assignments:
            await self.refresh(pool)
        known = self._assignments.get(pool, Assignment())
        owner = known.get_owner(key)
        member = known.get_member(owner.instance) if owner else None
        if member is None:
            return None
        return self._pools.get_peer(
            InstanceEntry(
                instance=member.instance,
                pool=pool,
                failure_domain='',
                address=member.address,
            ),
        )

    async def look_up(
        self,
        pool: str,
        once: OnceKey,
        wait_ms: float,
    ) -> LookupAnswer:
        """
        Query the owner of a key for its state.

        Parameters
        ----------
        pool : str
            Pool of the non-repeatable stage.
        once : OnceKey
            Key to look up.
        wait_ms : float
            Longest wait in milliseconds for a running call with this key.

        Returns
        -------
        LookupAnswer
            `uncertain` when no owner can be reached.
        """
        end_ms = get_monotonic_ms() + wait_ms / 2
        failures = 0
        while failures < _LOOKUP_ATTEMPTS and get_monotonic_ms() < end_ms:
            answer = await self._query_owner(pool, once, wait_ms)
            if answer is None:
                failures += 1
            elif answer.state is not LookupState.not_owner:
                return answer
            # A sidecar that is not the owner indicates a handover in
            # progress; wait for it to complete.
            await self.refresh(pool)
            await asyncio.sleep(global_settings.KEYED_RETRY_MS / _MILLISECONDS)
        return _UNCERTAIN

    async def refresh(self, pool: str) -> None:
        """Fetch the newest assignment known to a sample of the pool."""
        members = self._context.peers.get_pool(pool)
        size = min(_REFRESH_SAMPLE_SIZE, len(members))
        sample = self._context.rng.sample(members, size)
        replies = await asyncio.gather(
            *(self._read_assignment(member.address) for member in sample),
        )
        for reply in replies:
            known = self._assignments.get(pool, Assignment())
            if reply is not None and reply.epoch > known.epoch:
                self._assignments[pool] = reply

    async def _query_owner(
        self,
        pool: str,
        once: OnceKey,
        wait_ms: float,
    ) -> LookupAnswer | None:
        owner = await self.find_owner(pool, once.key)
        if owner is None:
            return None
        # The first lookup does not wait for a running call, so that an
        # unresponsive owner is detected early.
        answer = await self._send_lookup(owner, once, 0)
        if answer and answer.state is LookupState.running:
            return await self._send_lookup(owner, once, wait_ms) or answer
        return answer

    async def _send_lookup(
        self,
        owner: PeerState,
        once: OnceKey,
        wait_ms: float,
    ) -> LookupAnswer | None:
        timeout_ms = wait_ms + global_settings.ONCE_LOOKUP_TIMEOUT_MS
        return await self._fetch(
            'POST',
            f'http://{owner.instance.address}/v1/once/lookups'
            f'?wait_ms={wait_ms}',
            timeout_ms,
            LookupAnswer,
            once,
        )

    async def _read_assignment(self, address: str) -> Assignment | None:
        return await self._fetch(
            'GET',
            f'http://{address}/v1/once/assignment',
            global_settings.ONCE_LOOKUP_TIMEOUT_MS,
            Assignment,
        )

    async def _fetch(
        self,
        method: str,
        url: str,
        timeout_ms: float,
        answer_type: type,
        message: Message | None = None,
    ):
        body = msgspec.json.encode(message) if message is not None else None
        try:
            async with self._context.session.request(
                method,
                url,
                data=body,
                timeout=get_timeout(timeout_ms),
                raise_for_status=True,
            ) as response:
                return decode_json(
                    await read_bounded(
                        response, global_settings.MAX_MESSAGE_BYTES
                    ),
                    answer_type,
                )
        except _FAILURES:
            return None
