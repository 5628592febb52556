"""Keep the list of upstream instances in force."""

from collections.abc import Callable, Mapping

from ragworthollow.logs.events import log_event
from ragworthollow.platform.instances_wire import (
    INSTANCES_PREFIX,
    decode_instance,
)
from ragworthollow.platform.stored import Stored
from ragworthollow.upstreams import UpstreamInstance
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext

_STEP = 'instances'


class InstancesFollower:
    """
    Take the whole list from each read of the store.

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

    def take(self, found: Mapping[str, Stored], asked_ms: float) -> None:
        """
        Take what the store holds.

        Parameters
        ----------
        found : mapping of str to Stored
            All keys.
        asked_ms : float
            When they were asked for, on the monotonic clock.
        """
        entries = {
            key: stored
            for key, stored in found.items()
            if key.startswith(INSTANCES_PREFIX)
        }
        self._take(self._decode(entries), asked_ms)

    def note_lost(self, _detail: str) -> None:
        """Note that the store could not be read; the list is kept."""
        self._context.directory.note_outage(get_monotonic_ms())
        self._context.metrics.count_event('instance_list_unavailable')

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
