"""Keep the list of upstream instances in force."""

import dataclasses
from collections.abc import (
    Callable,
    Collection,
    Iterable,
    Mapping,
    Sequence,
)

from ragworthollow.logs.events import log_event
from ragworthollow.platform.drains_wire import read_drained_domains
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
        Called after instances appeared, left or started again.
    on_restart : callable
        Called with the name of each instance that started again under it.
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        on_change: Callable[[], None],
        on_restart: Callable[[str], None],
    ) -> None:
        self._context = context
        self._on_change = on_change
        self._on_restart = on_restart
        self._decoded: dict[str, tuple[Stored, UpstreamInstance | None]] = {}

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
        drained = read_drained_domains(found)
        self.take_instances(self._decode(entries), asked_ms, drained)

    def note_lost(self, _detail: str) -> None:
        """Note that the store could not be read; the list is kept."""
        self._context.directory.note_outage()
        self._context.metrics.count_event('instance_list_unavailable')

    def take_instances(
        self,
        listed: Sequence[UpstreamInstance],
        asked_ms: float,
        drained: Iterable[str] = (),
    ) -> None:
        """
        Take all instances that are listed, and forget what is gone.

        Parameters
        ----------
        listed : sequence of UpstreamInstance
            Leaving ones included.
        asked_ms : float
            When they were asked for, on the monotonic clock.
        drained : iterable of str
            Failure domains that are drained, as of the same moment.
        """
        directory = self._context.directory
        earlier = frozenset(directory.drains.get_since_ms())
        change = directory.replace(listed, asked_ms, drained)
        self._log_drains(earlier, listed)
        self._begin_warm_ups(
            change.appeared,
            earlier - directory.drains.get_since_ms().keys(),
        )
        if not change:
            return
        for instance in change.left:
            self._context.book.forget(instance)
        for instance in (*change.appeared, *change.restarted):
            self._context.book.forget_incarnation(instance)
        for instance in change.restarted:
            self._on_restart(instance)
        log_event(
            'instances_changed',
            step=_STEP,
            appeared=change.appeared,
            left=change.left,
            restarted=change.restarted,
            listed=len(listed),
        )
        self._on_change()

    def _begin_warm_ups(
        self,
        appeared: Iterable[str],
        restored: Collection[str],
    ) -> None:
        """
        Take it that instances of a restored domain have to warm up.

        They may have become cold while nothing was sent to them, and their
        entries tell it up to a heartbeat later: all gateways would turn to the
        least loaded instances of all at the same moment.
        """
        table = self._context.table
        if not restored or table is None:
            return
        now_ms = get_monotonic_ms()
        for name in appeared:
            instance = self._context.directory.get(name)
            if instance is None or instance.failure_domain not in restored:
                continue
            pool = table.pools.get(instance.pool)
            if pool is not None and pool.warm_up_ms:
                self._context.throttle.warm_ups.note(
                    instance.get_incarnation(),
                    now_ms + pool.warm_up_ms,
                )

    def _log_drains(
        self,
        earlier: frozenset[str],
        listed: Sequence[UpstreamInstance],
    ) -> None:
        """Log which failure domains are drained now, and which no longer."""
        current = self._context.directory.drains.get_since_ms().keys()
        for domain in earlier ^ current:
            log_event(
                'domain_drained' if domain in current else 'domain_restored',
                step=_STEP,
                peer=domain,
                instances=sum(one.failure_domain == domain for one in listed),
            )

    def _place(
        self,
        instance: UpstreamInstance | None,
    ) -> UpstreamInstance | None:
        """Add the region, which entries do not say."""
        if instance is None:
            return None
        settings = self._context.settings
        region = settings.get_region(instance.failure_domain)
        return dataclasses.replace(instance, region=region)

    def _note_warm_up(self, instance: UpstreamInstance | None) -> None:
        if instance is not None:
            self._context.throttle.warm_ups.note_entry(
                instance.get_incarnation(),
                get_monotonic_ms() + instance.warm_up_left_ms,
            )

    def _decode(self, found: dict[str, Stored]) -> list[UpstreamInstance]:
        """Decode entries, each again only after it has changed."""
        decoded = {}
        for key, stored in found.items():
            earlier, instance = self._decoded.get(key, (Stored(), None))
            if not stored.is_same_write(earlier):
                instance = self._place(
                    decode_instance(key, stored.text.encode()),
                )
                self._note_warm_up(instance)
            decoded[key] = (stored, instance)
        self._decoded = decoded
        return [
            instance for _, instance in decoded.values() if instance is not None
        ]
