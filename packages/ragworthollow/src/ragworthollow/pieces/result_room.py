"""Account for the space that results occupy at instances."""

from dataclasses import dataclass, field

from ragworthollow.conf import global_settings


@dataclass(frozen=True, kw_only=True, slots=True)
class KeptResult:
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
    until_ms : float
        Time at which the instance drops the result, on the monotonic clock.
    asker : str
        Incarnation of the gateway whose request holds the result.
    """

    handle: str
    instance: str
    result_bytes: int
    until_ms: float
    asker: str = ''


@dataclass(kw_only=True, slots=True)
class ResultRoom:
    """
    Track the space that the results of one pool occupy at each instance.

    An instance without enough space refuses pieces only after it has
    processed the rest of the call, so a gate that overfills it loses work.
    """

    _kept_by_handle: dict[str, KeptResult] = field(default_factory=dict)
    _unknown_by_instance: dict[str, KeptResult] = field(default_factory=dict)
    _freed_until_ms: dict[str, float] = field(default_factory=dict)

    def note_unknown(
        self,
        instance: str,
        result_bytes: int,
        until_ms: float,
    ) -> None:
        """
        Record space at an instance that is occupied by unknown results.

        They were requested by a gateway that is gone, and the instance drops
        them after a while.  Its remaining space is used in the meantime.
        """
        self._unknown_by_instance[instance] = KeptResult(
            handle='',
            instance=instance,
            result_bytes=result_bytes,
            until_ms=until_ms,
        )

    def keep(self, kept: KeptResult) -> None:
        """
        Record a result that occupies space until it is freed or expires.

        A result that was freed before the gate of its call reported it is
        ignored: otherwise free space would count as occupied for seconds.
        """
        if self._freed_until_ms.pop(kept.handle, None) is None:
            self._kept_by_handle[kept.handle] = kept

    def free(self, handle: str, now_ms: float) -> str:
        """Remove a result; return its instance, empty if it is unknown."""
        kept = self._kept_by_handle.pop(handle, None)
        if kept is not None:
            return kept.instance
        for freed, until_ms in tuple(self._freed_until_ms.items()):
            if until_ms <= now_ms:
                self._freed_until_ms.pop(freed)
        self._freed_until_ms[handle] = now_ms + global_settings.FREED_MEMORY_MS
        return ''

    def find_handles(self, asker: str) -> tuple[str, ...]:
        """Return the handles of the results held for one gateway's requests."""
        return tuple(
            kept.handle
            for kept in self._kept_by_handle.values()
            if kept.asker == asker
        )

    def forget_instance(self, instance: str) -> None:
        """Remove all results of an instance that no longer stores any."""
        self._unknown_by_instance.pop(instance, None)
        for handle, kept in tuple(self._kept_by_handle.items()):
            if kept.instance == instance:
                self._kept_by_handle.pop(handle)

    def take_all(self) -> tuple[KeptResult, ...]:
        """Remove and return all results, for another gate of the pool."""
        results = tuple(self._kept_by_handle.values())
        self._kept_by_handle.clear()
        return results

    def get_used(self, now_ms: float) -> dict[str, int]:
        """Remove expired results; return the bytes in use by instance."""
        used: dict[str, int] = {}
        for handle, kept in tuple(self._kept_by_handle.items()):
            if kept.until_ms <= now_ms:
                self._kept_by_handle.pop(handle)
                continue
            used[kept.instance] = used.get(kept.instance, 0) + kept.result_bytes
        for instance, unknown in tuple(self._unknown_by_instance.items()):
            if unknown.until_ms <= now_ms:
                self._unknown_by_instance.pop(instance)
                continue
            used[instance] = used.get(instance, 0) + unknown.result_bytes
        return used
