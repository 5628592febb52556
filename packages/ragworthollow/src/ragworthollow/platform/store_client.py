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
    LeaseRequest,
    LeaseResponse,
    TransactionRequest,
    Write,
)
from ragworthollow.platform.transaction import Compare, Put


class StoreClient(StoreReader):
    """Extend the reader with transactions and leases."""

    async def commit(
        self,
        *,
        compares: Sequence[Compare],
        puts: Sequence[Put],
        removes: Sequence[str] = (),
    ) -> Result[bool, PlatformError]:
        """
        Commit a transaction if every comparison holds.

        Returns
        -------
        Result
            Whether the comparisons held; an error states whether the write may
            have taken effect nevertheless.
        """
        if any(map(self._is_outdated, compares)):
            return Ok(False)
        request = TransactionRequest(
            expect_rev=tuple(
                ExpectedRevision(
                    key=f'{self._prefix}{item.key}',
                    rev=item.revision,
                )
                for item in compares
            ),
            writes=tuple(
                Write(
                    key=f'{self._prefix}{item.key}',
                    encoded=base64.b64encode(item.text.encode()).decode(),
                    lease=item.lease,
                )
                for item in puts
            ),
            remove=tuple(f'{self._prefix}{key}' for key in removes),
        )
        result = await self._transport.call(
            'POST',
            '/api/kv-txn',
            body=msgspec.json.encode(request),
            absent_status=HTTPStatus.PRECONDITION_FAILED,
        )
        return result.map(lambda item: item.body is not None)

    def _is_outdated(self, compare: Compare) -> bool:
        """
        Return whether a key was read before the store was restored.

        Its revision may have been assigned again, to another write.
        """
        return bool(compare.revision) and compare.timeline < self.timeline

    async def grant_lease(self, ttl_ms: int) -> Result[int, PlatformError]:
        """Create a lease and return its identifier."""
        result = await self._transport.call(
            'POST',
            '/api/kv-lease',
            body=msgspec.json.encode(LeaseRequest(ttl_ms=ttl_ms)),
            response_type=LeaseResponse,
        )
        return result.map(lambda response: response.message.lease)

    async def renew_lease(self, lease: int) -> Result[bool, PlatformError]:
        """Renew a lease; the result is False if it has expired."""
        result = await self._transport.call(
            'POST',
            f'/api/kv-keep/{lease}',
            absent_status=HTTPStatus.NOT_FOUND,
        )
        return result.map(lambda response: response.body is not None)

    async def revoke_lease(self, lease: int) -> Result[bool, PlatformError]:
        """Revoke a lease, which deletes its keys."""
        result = await self._transport.call(
            'DELETE',
            f'/api/kv-lease-end/{lease}',
            absent_status=HTTPStatus.NOT_FOUND,
        )
        return result.map(lambda _: True)
