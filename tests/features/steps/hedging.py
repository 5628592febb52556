"""Steps of hedged attempts."""

import asyncio
from types import SimpleNamespace

import msgspec
from behave import given, then, when

from ragworthollow.configuration import Pipeline, Stage, StageKind
from ragworthollow.metrics import Metrics
from ragworthollow.outcomes import Outcome, Reason
from ragworthollow.platform import InstanceEntry
from ragworthollow.retries import RetryBudget
from ragworthollow.routing import PeerState
from ragworthollow.transport.stage_answer import refuse
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.entry.admitted_request import AdmittedRequest
from ragworthollow_daemon.entry.effect_tracker import EffectTracker
from ragworthollow_daemon.entry.estimates import Estimates
from ragworthollow_daemon.entry.stage_runner import StageRunner
from ragworthollow_daemon.entry.stage_work import StageWork

_STAGE = Stage(name='encode', kind=StageKind.encode, pool='encoder-pool')


class FakePools:
    """Return the named instances in turn and allow one hedge."""

    def __init__(self, *names: str) -> None:
        self.choose_count = 0
        self._remaining = [self._make(name) for name in names]
        self._budget = RetryBudget(ratio=0, burst=1)

    def get_budget(self, _pool):
        return self._budget

    def choose(self, _pool, _model, _wish):
        self.choose_count += 1
        return self._remaining.pop(0) if self._remaining else None

    def _make(self, name):
        return PeerState(
            instance=InstanceEntry(
                instance=name,
                pool='encoder-pool',
                failure_domain='',
                address='',
            ),
        )


class FakeCaller:
    """Lose the first attempt after 0.1 s, refuse the second after 0.3 s."""

    async def call(self, peer, call, _emit, _timeout_ms):
        name = peer.instance.instance
        is_first = name == 'first'
        await asyncio.sleep(0.1 if is_first else 0.3)
        return refuse(
            call,
            outcome=Outcome.unknown if is_first else Outcome.not_run,
            reason=Reason.connection_lost if is_first else Reason.overloaded,
            peer=name,
        )


@given('a first attempt that is lost and a hedge that is refused later')
def make_lost_and_refused_attempts(context):
    _make_runner(context, FakePools('first', 'second'))


@given('a pool without instances')
def make_empty_pool(context):
    _make_runner(context, FakePools())


def _make_runner(context, pools):
    context.pools = pools
    context.runner = StageRunner(
        context=SimpleNamespace(
            metrics=Metrics(),
            settings=SimpleNamespace(instance='entry-0'),
        ),
        pools=pools,
        keys=None,
        estimates=Estimates(),
        caller=FakeCaller(),
    )


@when('the stage is aborted')
def run_stage(context):
    context.work = StageWork(
        request=AdmittedRequest(
            request_id='request',
            organisation='one',
            pipeline_name='two',
            pipeline=Pipeline(organisations=('one',), stages=(_STAGE,)),
            deadline_ms=get_monotonic_ms() + 5000,
            inputs={},
            worth=1,
        ),
        stage=_STAGE,
        payload=msgspec.Raw(b'null'),
        earlier={},
        later_ms=0,
        cost_ms=0,
        effects=EffectTracker(),
    )
    context.final_answer = asyncio.run(context.runner.run(context.work))


@then('the outcome of the request is {outcome}')
def check_outcome(context, outcome):
    assert context.final_answer.outcome is Outcome.not_run, context.final_answer
    outcome_found = context.work.effects.get_outcome(
        context.final_answer.outcome
    )
    assert outcome_found == outcome, outcome_found


@then('no instance was searched for in a loop')
def check_choose_count(context):
    assert context.pools.choose_count < 10, context.pools.choose_count
