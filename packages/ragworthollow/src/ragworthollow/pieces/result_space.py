"""Account for the space that results occupy at instances."""

from dataclasses import dataclass, field

from ragworthollow.conf import global_settings


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredResult:
    """
    Describe a result that occupies space at an instance.

    Attributes
    ----------
    handle : str
        Handle by which upstreams know the result.
    instance : str
        Instance that produced and stores the result.
    result_bytes : int
        Approximate size.
    expires_ms : float
        Time at which the instance drops the result, on the monotonic clock.
    requester : str
        Incarnation of the gateway whose request holds the result.
    """

    handle: str
    instance: str
    result_bytes: int
    expires_ms: float
    requester: str = ''


@dataclass(kw_only=True, slots=True)
class ResultSpace:
    """
    Track the space that the results of one pool occupy at each instance.

    An instance without enough space refuses pieces only after it has
    processed the rest of the call, so a scheduler that overfills it wastes
    work.
    """

    _results_by_handle: dict[str, StoredResult] = field(default_factory=dict)
    _untracked_by_instance: dict[str, StoredResult] = field(
        default_factory=dict
    )
    _released_expires_ms: dict[str, float] = field(default_factory=dict)

    def record_untracked(
        self,
        instance: str,
        result_bytes: int,
        expires_ms: float,
    ) -> None:
        """
        Record the space that untracked results occupy at an instance.

        They were requested by a gateway that has terminated, and the instance
        drops them after a while.  Its remaining space is used in the meantime.
        """
        self._untracked_by_instance[instance] = StoredResult(
            handle='',
            instance=instance,
            result_bytes=result_bytes,
            expires_ms=expires_ms,
        )

    def get_untracked_bytes(self, instance: str) -> int:
        """Return the space that untracked results occupy at an instance."""
        untracked = self._untracked_by_instance.get(instance)
        return 0 if untracked is None else untracked.result_bytes

    def add(self, stored: StoredResult) -> None:
        """
        Record a result that occupies space until it is released or expires.

        A result that was released before the scheduler of its call reported it
        is ignored: otherwise free space would count as occupied for seconds.
        """
        if self._released_expires_ms.pop(stored.handle, None) is None:
            self._results_by_handle[stored.handle] = stored

    def release(self, handle: str, now_ms: float) -> str:
        """Remove a result; return its producer, empty if it is untracked."""
        stored = self._results_by_handle.pop(handle, None)
        if stored is not None:
            return stored.instance
        for released, expires_ms in tuple(self._released_expires_ms.items()):
            if expires_ms <= now_ms:
                self._released_expires_ms.pop(released)
        self._released_expires_ms[handle] = (
            now_ms + global_settings.RELEASED_RESULT_TTL_MS
        )
        return ''

    def find_handles(self, requester: str) -> tuple[str, ...]:
        """Return the handles of the results held for one gateway's requests."""
        return tuple(
            stored.handle
            for stored in self._results_by_handle.values()
            if stored.requester == requester
        )

    def forget_instance(self, instance: str) -> None:
        """Remove all results of an instance that no longer stores any."""
        self._untracked_by_instance.pop(instance, None)
        for handle, stored in tuple(self._results_by_handle.items()):
            if stored.instance == instance:
                self._results_by_handle.pop(handle)

    def pop_all(self) -> tuple[StoredResult, ...]:
        """Remove and return all results, for another scheduler of the pool."""
        results = tuple(self._results_by_handle.values())
        self._results_by_handle.clear()
        return results

    def get_used_bytes(self, now_ms: float) -> dict[str, int]:
        """Remove expired results; return the bytes in use by instance."""
        used: dict[str, int] = {}
        for handle, stored in tuple(self._results_by_handle.items()):
            if stored.expires_ms <= now_ms:
                self._results_by_handle.pop(handle)
                continue
            used[stored.instance] = (
                used.get(stored.instance, 0) + stored.result_bytes
            )
        for instance, untracked in tuple(self._untracked_by_instance.items()):
            if untracked.expires_ms <= now_ms:
                self._untracked_by_instance.pop(instance)
                continue
            used[instance] = used.get(instance, 0) + untracked.result_bytes
        return used
