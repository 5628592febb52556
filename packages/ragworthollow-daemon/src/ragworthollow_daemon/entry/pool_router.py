"""Track the sidecars of every pool and choose among them."""

import asyncio

from ragworthollow.conf import global_settings
from ragworthollow.engines import get_model_engines
from ragworthollow.platform.instance_list import InstanceEntry, InstanceState
from ragworthollow.retries import RetryBudget
from ragworthollow.routing import (
    PeerState,
    choose_instance,
    choose_subset,
    find_stragglers,
)
from ragworthollow.routing.choice import SelectionCriteria
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.process_context import ProcessContext

_MILLISECONDS = 1000


class PoolRouter:
    """
    Track the state of the sidecars that this entry calls.

    Parameters
    ----------
    context : ProcessContext
        Context of this process.
    """

    def __init__(self, *, context: ProcessContext) -> None:
        self._context = context
        self._states: dict[str, PeerState] = {}
        self._subsets: dict[tuple[str, str], list[PeerState]] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._listed_revision = -1
        context.store.add_listener(self._subsets.clear)

    async def run(self) -> None:
        """Eject stragglers periodically until cancelled."""
        while True:
            await asyncio.sleep(
                global_settings.EJECTION_INTERVAL_MS / _MILLISECONDS,
            )
            for subset in self._subsets.values():
                self._eject(subset)

    def get_budget(self, pool: str) -> RetryBudget:
        """Return the retry budget of a pool."""
        return self._budgets.setdefault(pool, RetryBudget())

    def choose(
        self,
        pool: str,
        model: str,
        criteria: SelectionCriteria,
    ) -> PeerState | None:
        """
        Choose the sidecar for one attempt.

        Parameters
        ----------
        pool, model : str
            Pool of the stage, and its model for a generating stage.
        criteria : SelectionCriteria
            Affinity key, and instances to avoid.

        Returns
        -------
        PeerState or None
            None when no sidecar is eligible.
        """
        return choose_instance(
            self._get_subset(pool, model),
            criteria,
            get_monotonic_ms(),
            self._context.rng,
        )

    def get_peer(self, instance: InstanceEntry) -> PeerState:
        """Return the state of one sidecar, even if it is not listed."""
        state = self._states.get(instance.instance)
        if state is None or state.instance.address != instance.address:
            state = PeerState(instance=instance)
            self._states[instance.instance] = state
        return state

    def _get_subset(self, pool: str, model: str) -> list[PeerState]:
        listed = self._context.peers.listed
        if listed.revision != self._listed_revision:
            self._listed_revision = listed.revision
            self._subsets.clear()
            self._drop_unlisted(listed.instances)
        subset = self._subsets.get((pool, model))
        if subset is None:
            live = self._get_live_carriers(pool, model)
            chosen = choose_subset(
                self._context.settings.instance,
                live,
                global_settings.SUBSET_SIZE,
            )
            subset = [self.get_peer(entry) for entry in chosen]
            self._subsets[pool, model] = subset
        return subset

    def _get_live_carriers(self, pool: str, model: str) -> list[InstanceEntry]:
        members = self._context.peers.get_pool(pool)
        live = [entry for entry in members if entry.state is InstanceState.live]
        if not model:
            return live
        carriers = get_model_engines(
            self._context.store.deployment,
            model,
            [entry.instance for entry in members],
        )
        return [entry for entry in live if entry.instance in carriers]

    def _drop_unlisted(self, listed: tuple[InstanceEntry, ...]) -> None:
        names = {entry.instance for entry in listed}
        self._states = {
            name: state
            for name, state in self._states.items()
            if name in names or state.in_flight
        }

    def _eject(self, subset: list[PeerState]) -> None:
        now_ms = get_monotonic_ms()
        for straggler in find_stragglers(subset):
            straggler.avoid_until_ms = now_ms + global_settings.EJECTION_MS
            # After the ejection, judge it by new samples only.
            straggler.samples = 0
            self._context.metrics.count_event('straggler_ejected')
