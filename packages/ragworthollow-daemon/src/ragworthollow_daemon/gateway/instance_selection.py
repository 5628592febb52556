"""Select the instances for the attempts of one request."""

import math
from collections.abc import Sequence

from ragworthollow.balancing import (
    ChoiceReason,
    EngineChoice,
    EngineCriteria,
    are_uneven,
    choose_engine,
    nominate_engines,
)
from ragworthollow.logs.events import log_error
from ragworthollow.upstreams import (
    UpstreamCriteria,
    UpstreamInstance,
    choose_upstream,
)
from ragworthollow.upstreams.load_tracker import InstanceRecord
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.request_job import RequestJob
from ragworthollow_daemon.gateway.stream_binding import StreamBinding
from ragworthollow_daemon.gateway.unread_prompt import UnreadPrompt


class InstanceSelection:
    """
    Select an instance for each attempt, and remember what decided.

    Parameters
    ----------
    context : GatewayContext
        State of this gateway.
    job : RequestJob
        The request.
    expected_engine : str
        Engine near which its stages were made; empty if there is none.

    Attributes
    ----------
    tried_instances : set of str
        Instances that have got an attempt.
    binding : StreamBinding
        Restricts a stream to the software version that began it.
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        job: RequestJob,
        expected_engine: str = '',
    ) -> None:
        self.tried_instances: set[str] = set()
        self.binding = StreamBinding(context=context, job=job)
        self._context = context
        self._job = job
        self._expected_engine = expected_engine
        self._choice: EngineChoice | None = None
        self._view_age_ms = math.inf
        self._unread: UnreadPrompt | None = None

    def choose(
        self,
        available: Sequence[UpstreamInstance],
    ) -> UpstreamInstance | None:
        """Choose one of the available instances; None if none is left."""
        try:
            self._choice = self.choose_uneven_engine(available)
        except (ArithmeticError, ValueError) as error:
            # What one engine has reported must not fail the request.
            self._choice = None
            log_error(
                'engine_choice_failed',
                step='choice',
                peer=self._job.pool,
                request_id=self._job.request_parameters.request_id,
                error=repr(error),
            )
        if self._choice is not None:
            return self._choice.state.instance
        return choose_upstream(
            available,
            self._context.load_tracker,
            UpstreamCriteria(
                affinity_key=self._job.request_parameters.get_affinity_key(),
                avoid=frozenset(self.tried_instances),
                failure_domain=self._context.settings.failure_domain,
            ),
            get_monotonic_ms(),
            self._context.rng,
        )

    def record_prompt_sent(self, record: InstanceRecord) -> None:
        """Add the prompt to the load of the chosen instance."""
        if self._choice is not None:
            reason = self._choice.reason
            self._context.metrics.count_event(f'engine_choice_{reason}')
        tokens = self._count_tokens_to_read()
        record.unread_tokens += tokens
        self._unread = UnreadPrompt(record=record, tokens=tokens)

    def record_prompt_read(self) -> None:
        """Record that the instance has read the prompt, or never will."""
        if self._unread is not None:
            self._unread.record.unread_tokens -= self._unread.tokens
            self._unread = None

    def describe(self) -> dict[str, object]:
        """Return log fields on what was known of a chosen engine."""
        if self._choice is None:
            return {}
        state = self._choice.state
        return {
            'choice': self._choice.reason,
            'known_requests': state.requests,
            'known_unread_tokens': state.unread_tokens,
            'work_time_ratio': state.work_time_ratio,
            'current_work_time_ratio': state.current_work_time_ratio,
            'view_age_ms': (
                round(self._view_age_ms)
                if math.isfinite(self._view_age_ms)
                else None
            ),
        }

    def _count_tokens_to_read(self) -> int:
        prompt = self._job.request_parameters
        choice = self._choice
        if choice is not None and choice.reason is ChoiceReason.sooner:
            return prompt.prompt_tokens
        return prompt.prompt_tokens - prompt.get_affinity_tokens()

    def choose_uneven_engine(
        self,
        available: Sequence[UpstreamInstance],
    ) -> EngineChoice | None:
        """Choose among engines of uneven speed; None if they are even."""
        pool = self._job.route_table.pools.get(self._job.pool)
        if pool is None or not pool.is_engine:
            return None
        view = self._context.engine_view
        if not view.has_work_times():
            return None
        ratios = view.get_ratios(available)
        ordered = sorted(ratios.values())
        if not are_uneven(ordered):
            return None
        now_ms = get_monotonic_ms()
        self._view_age_ms = view.get_age_ms(now_ms)
        criteria = self._make_criteria(ordered[len(ordered) // 2])
        trusted = [
            instance
            for instance in available
            if self._is_trusted(instance, now_ms)
        ]
        nominees = nominate_engines(trusted, ratios, criteria)
        return choose_engine(view.make_states(nominees, now_ms), criteria)

    def _make_criteria(self, usual_ratio: float) -> EngineCriteria:
        prompt = self._job.request_parameters
        shared_tokens = prompt.get_affinity_tokens()
        return EngineCriteria(
            affinity_key=prompt.get_affinity_key() or prompt.request_id,
            expected=self._expected_engine,
            usual_ratio=usual_ratio,
            unshared_tokens=prompt.prompt_tokens - shared_tokens,
            shared_tokens=shared_tokens,
        )

    def _is_trusted(self, instance: UpstreamInstance, now_ms: float) -> bool:
        record = self._context.load_tracker.get(instance.instance)
        is_suspect = record.suspect_until_ms > now_ms
        return not is_suspect and instance.instance not in self.tried_instances
