"""Keep the list of upstream instances in force."""

from collections.abc import Callable

from result import Err

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.platform.instances_wire import (
    INSTANCES_PREFIX,
    decode_instance,
)
from ragworthollow.platform.stored import Stored
from ragworthollow.upstreams import UpstreamInstance
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.poll_pace import poll_forever

_STEP = 'instances'


class InstancesFollower:
    """
    Read the whole list again and again.

    Parameters
    ----------
    context : GatewayContext
        Of this process.
    on_change : callable
        Called after instances appeared or left.
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        on_change: Callable[[], None],
    ) -> None:
        self._context = context
        self._on_change = on_change
        self._decoded: dict[str, tuple[int, UpstreamInstance | None]] = {}

    async def run(self) -> None:
        """Poll until cancelled."""
        await poll_forever(self.poll, global_settings.UPSTREAM_POLL_MS)

    async def poll(self) -> bool:
        """
        Read once; a failure keeps the list that is known.

        Returns
        -------
        bool
            Whether the store answered.
        """
        asked_ms = get_monotonic_ms()
        found = await self._context.store.read_prefix(INSTANCES_PREFIX)
        if isinstance(found, Err):
            self._context.directory.note_outage(get_monotonic_ms())
            self._context.metrics.count_event('instance_list_unavailable')
            return False
        self._take(self._decode(found.ok_value), asked_ms)
        return True

    def _take(
        self,
        listed: list[UpstreamInstance],
        asked_ms: float,
    ) -> None:
        change = self._context.directory.replace(listed, asked_ms)
        if not change.appeared and not change.left:
            return
        for instance in change.left:
            self._context.book.forget(instance)
        log_event(
            'instances_changed',
            step=_STEP,
            appeared=change.appeared,
            left=change.left,
            listed=len(listed),
        )
        self._on_change()

    def _decode(self, found: dict[str, Stored]) -> list[UpstreamInstance]:
        """Decode entries, each again only after it has changed."""
        decoded = {}
        for key, stored in found.items():
            revision, instance = self._decoded.get(key, (0, None))
            if revision != stored.mod_revision:
                instance = decode_instance(key, stored.text.encode())
            decoded[key] = (stored.mod_revision, instance)
        self._decoded = decoded
        return [
            instance for _, instance in decoded.values() if instance is not None
        ]
