"""Maintain a key that is bound to a lease of this sidecar."""

import msgspec
from result import Err, Ok, Result

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_error
from ragworthollow.once.member_key import MemberKey
from ragworthollow.platform import PlatformError, StoreClient, Stored
from ragworthollow.platform.transaction import Compare, Put, compare_with
from ragworthollow.utils import decode_json, get_monotonic_ms

_MAX_ERROR_CHARACTERS = 200


class MemberLease:
    """
    Hold a lease and the key that is deleted when the lease expires.

    Parameters
    ----------
    key_value : StoreClient
        Client of the platform's key-value store.
    key : str
        Key that is bound to the lease.
    ttl_ms : int
        Time to live of the lease.
    """

    def __init__(
        self, *, key_value: StoreClient, key: str, ttl_ms: int
    ) -> None:
        self._key_value = key_value
        self._key = key
        self._ttl_ms = ttl_ms
        self.renewed_ms = float('-inf')
        self._written: MemberKey | None = None
        self.lease = 0

    def is_due(self, now_ms: float) -> bool:
        """Return whether the lease has to be acquired or renewed."""
        interval_ms = self._ttl_ms / global_settings.RENEWALS_PER_LEASE
        return not self.lease or now_ms - self.renewed_ms >= interval_ms

    async def renew(self) -> Result[bool, PlatformError]:
        """
        Renew the lease.

        Returns
        -------
        Result
            False if the lease has expired and its key was deleted.
        """
        sent_ms = get_monotonic_ms()
        renewed = await self._key_value.renew_lease(self.lease)
        if isinstance(renewed, Err):
            return renewed
        if renewed.ok_value:
            self.renewed_ms = sent_ms
        else:
            self.lease = 0
            self._written = None
        return renewed

    async def acquire(
        self,
        member: MemberKey,
        current: Stored,
        record: Compare,
    ) -> Result[bool, PlatformError]:
        """
        Write the key under a new lease.

        A key left by an earlier process with the same address may be
        replaced: that process has terminated, since this process could bind
        its port.

        Parameters
        ----------
        member : MemberKey
            Value of the key.
        current : Stored
            The key as last read.
        record : Compare
            Additional condition of the write, such as an unchanged
            assignment.

        Returns
        -------
        Result
            Whether this process holds the key now.
        """
        if current.text and not self._is_own(current.text, member):
            return Ok(False)
        sent_ms = get_monotonic_ms()
        granted = await self._key_value.grant_lease(self._ttl_ms)
        if isinstance(granted, Err):
            return granted
        lease = granted.ok_value
        written = await self._put(member, lease, current, record)
        if isinstance(written, Ok) and written.ok_value:
            self.lease = lease
            self._written = member
            self.renewed_ms = sent_ms
        return written

    async def update(
        self,
        member: MemberKey,
        current: Stored,
    ) -> Result[bool, PlatformError]:
        """Write the key if its value differs from the one last written."""
        if member == self._written:
            return Ok(True)
        written = await self._put(member, self.lease, current)
        if isinstance(written, Ok) and written.ok_value:
            self._written = member
        return written

    async def release(self) -> None:
        """Revoke the lease, so that no process has to wait for its expiry."""
        if self.lease:
            await self._key_value.revoke_lease(self.lease)
            self.lease = 0

    def _is_own(self, text: str, member: MemberKey) -> bool:
        """Return whether an earlier process at the same address wrote a key."""
        try:
            previous = decode_json(text, MemberKey)
        except msgspec.DecodeError as error:
            log_error(
                'lease_key_unreadable',
                step='once',
                peer=self._key,
                error=str(error)[:_MAX_ERROR_CHARACTERS],
            )
            return False
        return previous.address == member.address

    async def _put(
        self,
        member: MemberKey,
        lease: int,
        current: Stored,
        *more: Compare,
    ) -> Result[bool, PlatformError]:
        text = msgspec.json.encode(member).decode()
        return await self._key_value.commit(
            compares=[compare_with(self._key, current), *more],
            puts=[Put(key=self._key, text=text, lease=lease)],
        )
