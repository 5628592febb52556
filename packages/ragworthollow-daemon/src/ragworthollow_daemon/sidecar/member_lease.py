"""Keep this sidecar's leased member key."""

import msgspec
from result import Err, Ok, Result

from ragworthollow.conf import global_settings
from ragworthollow.once.member_key import MemberKey
from ragworthollow.platform import PlatformError, StoreClient, Stored
from ragworthollow.platform.transaction import Compare, Put, compare_with
from ragworthollow.utils import get_monotonic_ms


class MemberLease:
    """
    Hold a lease and the key that dies with it.

    Parameters
    ----------
    key_value : StoreClient
        The platform's service.
    key : str
        Our member key.
    ttl_ms : int
        Time to live.
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
        """Tell whether it is time to renew."""
        pace_ms = self._ttl_ms / global_settings.RENEWALS_PER_LEASE
        return not self.lease or now_ms - self.renewed_ms >= pace_ms

    async def renew(self) -> Result[bool, PlatformError]:
        """
        Renew the lease.

        Returns
        -------
        Result
            False when it has lapsed and its key with it.
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
        found: Stored,
        record: Compare,
    ) -> Result[bool, PlatformError]:
        """
        Write the member key under a new lease.

        A key left by an earlier process of the same address may be
        replaced: that process is dead, or we could not have bound its port.

        Parameters
        ----------
        member : MemberKey
            What to write.
        found : Stored
            The key as last read.
        record : Compare
            That the assignment is still the one last read.

        Returns
        -------
        Result
            Whether the key is ours now.
        """
        if found.text:
            earlier = msgspec.json.decode(found.text, type=MemberKey)
            if earlier.address != member.address:
                return Ok(False)
        sent_ms = get_monotonic_ms()
        granted = await self._key_value.grant_lease(self._ttl_ms)
        if isinstance(granted, Err):
            return granted
        lease = granted.ok_value
        written = await self._put(member, lease, found, record)
        if isinstance(written, Ok) and written.ok_value:
            self.lease = lease
            self._written = member
            self.renewed_ms = sent_ms
        return written

    async def update(
        self,
        member: MemberKey,
        found: Stored,
    ) -> Result[bool, PlatformError]:
        """Change what the key says, if it does not say so yet."""
        if member == self._written:
            return Ok(True)
        written = await self._put(member, self.lease, found)
        if isinstance(written, Ok) and written.ok_value:
            self._written = member
        return written

    async def release(self) -> None:
        """Give the lease back, so that nobody waits for it to lapse."""
        if self.lease:
            await self._key_value.revoke_lease(self.lease)
            self.lease = 0

    async def _put(
        self,
        member: MemberKey,
        lease: int,
        found: Stored,
        *more: Compare,
    ) -> Result[bool, PlatformError]:
        text = msgspec.json.encode(member).decode()
        return await self._key_value.commit(
            compares=[compare_with(self._key, found), *more],
            puts=[Put(key=self._key, text=text, lease=lease)],
        )
