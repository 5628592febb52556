"""Keep the list of upstream instances up to date."""

import dataclasses
from collections.abc import (
    Callable,
    Collection,
    Iterable,
    Mapping,
    Sequence,
)

from ragworthollow.logs.events import log_event
from ragworthollow.logs.unreadable_records import UnreadableRecords
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


class InstancesSubscriber:
    """
    Replace the list of instances after each read of the store.

    Parameters
    ----------
    context : GatewayContext
        Shared state of this gateway.
    on_change : callable
        Called after instances have appeared, left or restarted.
    on_restart : callable
        Called with the name of each instance that has restarted.
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
        self._unreadable = UnreadableRecords(
            event='instance_entry_unreadable', step=_STEP
        )
        self._decoded: dict[str, tuple[Stored, UpstreamInstance | None]] = {}

    def apply_entries(
        self, entries: Mapping[str, Stored], confirmed_ms: float
    ) -> None:
        """
        Apply the records of all instances and the drained domains.

        Parameters
        ----------
        entries : mapping of str to Stored
            All records of the store by key.
        confirmed_ms : float
            Time as of which they are known to be up to date, on the monotonic
            clock.
        """
        instance_entries = {
            key: stored
            for key, stored in entries.items()
            if key.startswith(INSTANCES_PREFIX)
        }
        drained = read_drained_domains(entries)
        self.apply_instances(
            self._decode(instance_entries), confirmed_ms, drained
        )

    def handle_store_unavailable(self, _detail: str) -> None:
        """Record that the store could not be read, and keep the list."""
        self._context.directory.record_outage()
        self._context.metrics.count_event('instance_list_unavailable')

    def apply_instances(
        self,
        listed: Sequence[UpstreamInstance],
        confirmed_ms: float,
        drained: Iterable[str] = (),
    ) -> None:
        """
        Replace the listed instances, and discard the state of removed ones.

        Parameters
        ----------
        listed : sequence of UpstreamInstance
            All listed instances, including those that are shutting down.
        confirmed_ms : float
            Time as of which they are known to be up to date, on the monotonic
            clock.
        drained : iterable of str
            Failure domains that are drained as of the same time.
        """
        directory = self._context.directory
        previously_drained = frozenset(directory.drains.get_since_ms())
        previous_ms = directory.updated_ms
        change = directory.replace(listed, confirmed_ms, drained)
        self._log_drains(previously_drained, listed)
        self._begin_warm_ups(
            change.appeared,
            previously_drained - directory.drains.get_since_ms().keys(),
        )
        if not change:
            return
        for instance in change.left:
            self._context.load_tracker.forget(instance)
        for instance in (*change.appeared, *change.restarted):
            self._context.load_tracker.forget_incarnation(instance)
        for instance in change.restarted:
            self._context.directory.stream_versions.forget_version(
                instance, previous_ms
            )
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
        Treat the instances of a restored domain as warming up.

        They may have gone cold while they got no requests, and their records
        report that up to a heartbeat later.  Until then all gateways would
        prefer them at the same time, since they have the least load.
        """
        table = self._context.route_table
        if not restored or table is None:
            return
        now_ms = get_monotonic_ms()
        for name in appeared:
            instance = self._context.directory.get(name)
            if instance is None or instance.failure_domain not in restored:
                continue
            pool = table.pools.get(instance.pool)
            if pool is not None and pool.warm_up_ms:
                self._context.throttle.warm_ups.record(
                    instance.get_incarnation(),
                    now_ms + pool.warm_up_ms,
                )

    def _log_drains(
        self,
        previously_drained: frozenset[str],
        listed: Sequence[UpstreamInstance],
    ) -> None:
        """Log the failure domains that were drained or restored."""
        drained = self._context.directory.drains.get_since_ms().keys()
        for domain in previously_drained ^ drained:
            log_event(
                'domain_drained' if domain in drained else 'domain_restored',
                step=_STEP,
                peer=domain,
                instances=sum(
                    instance.failure_domain == domain for instance in listed
                ),
            )

    def _add_region(
        self,
        instance: UpstreamInstance | None,
    ) -> UpstreamInstance | None:
        """Add the region, which is not part of the stored record."""
        if instance is None:
            return None
        settings = self._context.settings
        region = settings.get_region(instance.failure_domain)
        return dataclasses.replace(instance, region=region)

    def _record_warm_up(self, instance: UpstreamInstance | None) -> None:
        if instance is not None:
            self._context.throttle.warm_ups.record_entry(
                instance.get_incarnation(),
                get_monotonic_ms() + instance.warm_up_remaining_ms,
            )

    def _decode(self, entries: dict[str, Stored]) -> list[UpstreamInstance]:
        """Decode records, reusing earlier results for unchanged ones."""
        decoded = {}
        for key, stored in entries.items():
            previous, instance = self._decoded.get(key, (Stored(), None))
            if not stored.is_same_write(previous):
                instance = self._add_region(
                    decode_instance(
                        key, stored.text.encode(), self._unreadable.record
                    ),
                )
                self._record_warm_up(instance)
            decoded[key] = (stored, instance)
        self._unreadable.end_list()
        self._decoded = decoded
        return [
            instance for _, instance in decoded.values() if instance is not None
        ]
