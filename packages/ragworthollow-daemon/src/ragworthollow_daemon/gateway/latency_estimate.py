"""Estimate how long the stages of a request take."""

from collections.abc import Mapping

from ragworthollow.conf import global_settings
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.request_job import RequestJob


class LatencyEstimate:
    """
    Estimate the time from the stages of a request to its first event.

    Parameters
    ----------
    job : RequestJob
        The request.
    first_event_ms : float
        Expected time in milliseconds from the end of the last stage to the
        first event of the response.
    is_deferred : bool
        Whether the request was deferred, so that it ranks behind requests
        that can still meet their objective.
    """

    def __init__(
        self,
        *,
        job: RequestJob,
        first_event_ms: float,
        is_deferred: bool = False,
    ) -> None:
        self.active_stages = job.get_active_stages()
        self._job = job
        self._is_deferred = is_deferred
        self._stages = job.route.stages
        self._counts = job.request_parameters.piece_counts
        self._first_event_ms = first_event_ms

    def as_deferred(self) -> 'LatencyEstimate':
        """Return the estimates for the request as a deferred one."""
        return LatencyEstimate(
            job=self._job,
            first_event_ms=self._first_event_ms,
            is_deferred=True,
        )

    def estimate_lateness_if_new_ms(
        self,
        waits_ms: Mapping[str, float],
        now_ms: float,
    ) -> float:
        """Estimate the lateness in milliseconds as if it had just arrived."""
        new_deadline_ms = now_ms + self._job.route.objective_ms
        late_ms = self.estimate_lateness_ms(waits_ms)
        return late_ms + self._job.get_objective_deadline_ms() - new_deadline_ms

    def get_latest_start_ms(self) -> float:
        """Return the latest start for a response before the caller gives up."""
        total_ms = self._estimate_stages_ms({}) + self._first_event_ms
        margin_ms = global_settings.DEFERRAL_MARGIN_MS
        return self._get_caller_give_up_ms() - total_ms - margin_ms

    def _get_caller_give_up_ms(self) -> float:
        """Return when the caller gives up if it has received no event."""
        caller_timeout_ms = max(
            global_settings.CALLER_TIMEOUT_MIN_MS,
            self._job.route.objective_ms
            * global_settings.CALLER_TIMEOUT_FACTOR,
        )
        return min(
            self._job.deadline_ms, self._job.received_ms + caller_timeout_ms
        )

    def get_consumers(self, position: int) -> list[int]:
        """Return the active stages that read the results of a stage."""
        return [
            consumer
            for consumer in self.active_stages
            if position in self._stages[consumer].after
        ]

    def estimate_lateness_ms(self, waits_ms: Mapping[str, float]) -> float:
        """
        Estimate by how much a request that starts now misses its objective.

        Parameters
        ----------
        waits_ms : mapping of str to float
            Expected waits by pool, in milliseconds.

        Returns
        -------
        float
            Milliseconds, negative if the request should meet its objective.
            Minus infinity if the waits add nothing to the time of the stages:
            an estimate of the processing time alone never refuses a request.
        """
        stages_ms = self._estimate_stages_ms(waits_ms)
        if stages_ms <= self._estimate_stages_ms({}):
            return float('-inf')
        answered_ms = get_monotonic_ms() + stages_ms + self._first_event_ms
        return answered_ms - self._job.get_objective_deadline_ms()

    def estimate_wait_ms(self, waits_ms: Mapping[str, float]) -> float:
        """Estimate how much longer the stages take because of waits."""
        return self._estimate_stages_ms(waits_ms) - self._estimate_stages_ms({})

    def find_last_dependencies(self, position: int) -> frozenset[int]:
        """
        Return the stages after which all other final stages may start.

        Parameters
        ----------
        position : int
            A final stage, which no other stage reads.
        """
        return frozenset(
            dependency
            for final in self.active_stages
            if final != position and not self.get_consumers(final)
            for dependency in self._stages[final].after
            if dependency in self.active_stages
        )

    def get_due_ms(self, position: int) -> float:
        """Return the latest start of a stage that meets the objective."""
        remaining_ms = self._first_event_ms + self._estimate_remaining_ms(
            position
        )
        return self._job.get_objective_deadline_ms() - remaining_ms

    def get_give_up_ms(self, position: int) -> float:
        """
        Return when a first stage that has not started is abandoned.

        If the caller retried too late to meet the objective, the request was
        admitted in order to be served late with otherwise unused capacity.
        """
        due_ms = self.get_due_ms(position)
        if due_ms < self._job.received_ms:
            return self.get_expiry_ms()
        return due_ms + global_settings.PIECE_GIVE_UP_MS

    def get_expiry_ms(self) -> float:
        """Return when waiting for the results of stages ends."""
        if self._is_deferred:
            return self._get_caller_give_up_ms()
        stage_timeout_ms = (
            self._job.route.objective_ms * global_settings.STAGE_TIMEOUT_FACTOR
        )
        return min(
            self._job.deadline_ms,
            self._job.received_ms + stage_timeout_ms,
        )

    def get_latest_useful_start_ms(self, position: int) -> float:
        """Return the latest start of a stage with which a caller is served."""
        remaining_ms = self._first_event_ms + self._estimate_remaining_ms(
            position
        )
        return self._get_caller_give_up_ms() - remaining_ms

    def _estimate_stages_ms(self, waits_ms: Mapping[str, float]) -> float:
        """
        Estimate how long all stages take from now, in milliseconds.

        Part of a pool's current wait has passed by the time the request
        reaches a later stage.
        """
        stage_ends_ms: dict[int, float] = {}
        for position in self.active_stages:
            stage = self._stages[position]
            start_ms = max(
                (
                    stage_ends_ms.get(dependency, 0)
                    for dependency in stage.after
                ),
                default=0,
            )
            wait_ms = max(0, waits_ms.get(stage.pool, 0) - start_ms)
            call_ms = self._estimate_call_ms(position)
            stage_ends_ms[position] = start_ms + wait_ms + call_ms
        return max(stage_ends_ms.values(), default=0)

    def _estimate_remaining_ms(self, position: int) -> float:
        """Estimate the time from the start of a stage to the end of all."""
        following_ms = [
            self._estimate_remaining_ms(consumer)
            for consumer in self.get_consumers(position)
        ]
        return self._estimate_call_ms(position) + max(following_ms, default=0)

    def _estimate_call_ms(self, position: int) -> float:
        """Estimate the time that a call for a stage takes."""
        pool = self._job.route_table.pools.get(self._stages[position].pool)
        if pool is None or pool.pieces is None:
            return 0
        profile = pool.pieces
        return profile.estimate_ms(
            min(self._counts[position], profile.batch_limit),
        )
