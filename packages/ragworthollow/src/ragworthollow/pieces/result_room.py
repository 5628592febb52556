"""Account for the space that results take at their makers."""

from dataclasses import dataclass, field


@dataclass(kw_only=True, slots=True)
class _Kept:
    instance: str
    result_bytes: int
    until_ms: float


@dataclass(kw_only=True, slots=True)
class ResultRoom:
    """
    Know how much space the results of one pool take at each instance.

    An instance refuses pieces for which it has no space after the call's
    other pieces were worked on, so a gate that overfills it loses work.
    """

    _kept_by_handle: dict[str, _Kept] = field(default_factory=dict)
    _full_until_ms: dict[str, float] = field(default_factory=dict)

    def note_full(self, instance: str, until_ms: float) -> None:
        """Note that an instance had no space, whatever the account says."""
        self._full_until_ms[instance] = until_ms

    def is_full(self, instance: str, now_ms: float) -> bool:
        """Tell whether an instance has had no space of late."""
        return self._full_until_ms.get(instance, 0) > now_ms

    def keep(
        self,
        *,
        handle: str,
        instance: str,
        result_bytes: int,
        until_ms: float,
    ) -> None:
        """Note a result that takes space until it is freed or expires."""
        self._kept_by_handle[handle] = _Kept(
            instance=instance,
            result_bytes=result_bytes,
            until_ms=until_ms,
        )

    def free(self, handle: str) -> str:
        """Forget a result; return its maker, empty for an unknown one."""
        kept = self._kept_by_handle.pop(handle, None)
        return '' if kept is None else kept.instance

    def get_used(self, now_ms: float) -> dict[str, int]:
        """Return the bytes in use by instance, and drop expired results."""
        used: dict[str, int] = {}
        for handle, kept in tuple(self._kept_by_handle.items()):
            if kept.until_ms <= now_ms:
                self._kept_by_handle.pop(handle)
                continue
            used[kept.instance] = used.get(kept.instance, 0) + kept.result_bytes
        return used
