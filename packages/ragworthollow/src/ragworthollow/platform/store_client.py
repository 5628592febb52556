"""Write to the platform's store."""

import base64
from collections.abc import Sequence
from http import HTTPStatus

import msgspec
from result import Ok, Result

from ragworthollow.platform.exceptions import PlatformError
from ragworthollow.platform.store_reader import StoreReader
from ragworthollow.platform.store_wire import (
    ExpectedRevision,
    LeaseAnswer,
    LeaseCall,
    TransactionCall,
    Write,
)
from ragworthollow.platform.transaction import Compare, Put


class StoreClient(StoreReader):
    """Write keys and hold leases, beside all that a reader does."""

    async def commit(
        self,
        *,
        compares: Sequence[Compare],
        puts: Sequence[Put],
        removes: Sequence[str] = (),
    ) -> Result[bool, PlatformError]:
        """
        Write when every comparison holds.

        Returns
        -------
        Result
            Whether the comparisons held; an error says whether the write
            may have taken effect all the same.
        """
        if any(map(self._is_outdated, compares)):
            return Ok(False)
        call = TransactionCall(
            expect_rev=tuple(
                ExpectedRevision(
                    key=f'{self._prefix}{one.key}',
                    rev=one.revision,
                )
                for one in compares
            ),
            writes=tuple(
                Write(
                    key=f'{self._prefix}{one.key}',
                    encoded=base64.b64encode(one.text.encode()).decode(),
                    lease=one.lease,
                )
                for one in puts
            ),
            remove=tuple(f'{self._prefix}{key}' for key in removes),
        )
        answer = await self._transport.call(
            'POST',
            '/api/kv-txn',
            body=msgspec.json.encode(call),
            absent_status=HTTPStatus.PRECONDITION_FAILED,
        )
        return answer.map(lambda one: one.body is not None)

    def _is_outdated(self, compare: Compare) -> bool:
        """
        Tell whether a key was read before the store was restored.

        Its revision may have been given out again, to another write.
        """
        return bool(compare.revision) and compare.timeline < self.timeline

    async def grant_lease(self, ttl_ms: int) -> Result[int, PlatformError]:
        """Create a lease and return its identifier."""
        answer = await self._transport.call(
            'POST',
            '/api/kv-lease',
            body=msgspec.json.encode(LeaseCall(ttl_ms=ttl_ms)),
        )
        return answer.map(
            lambda one: msgspec.json.decode(one.body, type=LeaseAnswer).lease,
        )

    async def renew_lease(self, lease: int) -> Result[bool, PlatformError]:
        """Renew a lease; False when it has lapsed."""
        answer = await self._transport.call(
            'POST',
            f'/api/kv-keep/{lease}',
            absent_status=HTTPStatus.NOT_FOUND,
        )
        return answer.map(lambda one: one.body is not None)

    async def revoke_lease(self, lease: int) -> Result[bool, PlatformError]:
        """End a lease, which deletes its keys."""
        answer = await self._transport.call(
            'DELETE',
            f'/api/kv-lease-end/{lease}',
            absent_status=HTTPStatus.NOT_FOUND,
        )
        return answer.map(lambda _: True)
