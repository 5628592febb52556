"""Define steps for results that are begun late, and requests that wait."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when
from result import Ok

from measure.fleet_model.virtual_time import VirtualLoop
from ragworthollow.conf import GatewaySettings
from ragworthollow.metrics import Metrics
from ragworthollow.pieces import PieceOutcome, PieceResult
from ragworthollow.utils import get_monotonic_ms, override_clocks
from ragworthollow_daemon.gateway.deferral_queue import DeferralQueue
from ragworthollow_daemon.gateway.features import find_features
from ragworthollow_daemon.gateway.latency_estimate import LatencyEstimate
from ragworthollow_daemon.gateway.stage_graph_runner import StageGraphRunner
from tests.fixtures.chat_request import CALL_MS, make_chat_job

_NEVER_MS = 10_000


class _RecordingClient:
    """Run each stage in a given time and record when it began."""

    def __init__(self, *, loop, is_space_scarce: bool, hangs: str) -> None:
        self.requester = 'gateway'
        self.is_space_scarce = is_space_scarce
        self.begun_ms = {}
        self._loop = loop
        self._hangs = hangs

    def announce(self, pool, priority, pieces):
        """Ignore announced pieces."""

    def release(self, pool, handles):
        """Ignore released results."""

    def is_short_of_space(self, pool):
        return False

    def find_failure_domain(self, pool, handle):
        return ''

    def get_waits_ms(self, pools, priority):
        return dict.fromkeys(pools, 0)

    async def run(self, pool, pieces):
        self.begun_ms[pool] = self._loop.get_ms()
        if pool == self._hangs:
            await asyncio.sleep(_NEVER_MS / 1000)
        await asyncio.sleep(CALL_MS / 1000)
        return tuple(
            PieceResult(outcome=PieceOutcome.done, handle=f'{pool}/0')
            for _ in pieces
        )


@given('a chat with pictures, and texts that take three stages')
def make_chat(context):
    context.objective_ms = 2000


def _run_stages(context, *, is_scarce: bool, hangs: str = '') -> None:
    loop = VirtualLoop()

    async def run() -> None:
        client = _RecordingClient(
            loop=loop, is_space_scarce=is_scarce, hangs=hangs
        )
        job = make_chat_job(context.objective_ms, get_monotonic_ms())
        runner = StageGraphRunner(
            client=client,
            job=job,
            estimate=LatencyEstimate(job=job, first_event_ms=100),
            failure_domain='one',
        )
        context.begun_ms = client.begun_ms
        task = asyncio.ensure_future(runner.run())
        await asyncio.wait({task}, timeout=3)
        context.result = task.result() if task.done() else None
        task.cancel()

    with override_clocks(loop.get_ms):
        loop.run_until_complete(run())


@when('space is scarce')
def run_scarce(context):
    _run_stages(context, is_scarce=True)


@when('space is not scarce')
def run_plentiful(context):
    _run_stages(context, is_scarce=False)


@when('space is scarce and the second stage of the texts never ends')
def run_hanging(context):
    _run_stages(context, is_scarce=True, hangs='second')


@then('the pictures are begun when the second stage of the texts is done')
def check_begun_late(context):
    assert context.begun_ms['pictures'] == context.begun_ms['third']
    assert context.begun_ms['pictures'] >= 2 * CALL_MS
    assert isinstance(context.result, Ok)


@then('the pictures are begun {before_ms:d} ms before their latest start')
def check_begun_in_time(context, before_ms):
    # One call of its own, and 100 ms to the first event.
    latest_ms = context.objective_ms - CALL_MS - 100
    begun_ms = context.begun_ms['pictures']
    assert abs(begun_ms - (latest_ms - before_ms)) <= 1, begun_ms


@then('the pictures are begun at once')
def check_begun_at_once(context):
    assert context.begun_ms['pictures'] <= 1


@given('a deferred request with an objective of {objective_ms:d} ms')
def make_deferred(context, objective_ms):
    context.objective_ms = objective_ms


@when('pools expect a wait of {wait_ms:d} ms and space is {space}')
def check_capacity(context, wait_ms, space):
    loop = VirtualLoop()

    async def wait() -> None:
        job = make_chat_job(context.objective_ms, get_monotonic_ms())
        queue = DeferralQueue(
            context=SimpleNamespace(
                directory=SimpleNamespace(get_pool=lambda _: ('engine',)),
                metrics=Metrics(),
            ),
            is_space_scarce=space == 'scarce',
            get_waits_ms=lambda pools, _: (
                dict.fromkeys(pools, 0) | {'first': wait_ms}
            ),
            is_quarantined=lambda _: False,
        )
        task = asyncio.ensure_future(
            queue.wait(job, LatencyEstimate(job=job, first_event_ms=0))
        )
        await asyncio.sleep(0)
        queue.start_ready()
        await asyncio.sleep(0)
        context.has_started = task.done()
        task.cancel()

    with override_clocks(loop.get_ms):
        loop.run_until_complete(wait())


@then('it {verdict:w}')
def check_started(context, verdict):
    assert context.has_started is (verdict == 'starts')


@when('the platform declares {contracts} and the setting is {setting:w}')
def declare(context, contracts, setting):
    context.features = find_features(
        GatewaySettings(
            role='gateway',
            instance='g',
            failure_domain='one',
            front_address='',
            ready_address='',
            peer_address='',
            store_url='http://store',
            platform_contracts=tuple(contracts.split(', ')),
            scarce_result_space={'absent': None, 'on': True, 'off': False}[
                setting
            ],
        )
    )


@then('space is {verdict}')
def check_features(context, verdict):
    assert bool(context.features) is (verdict == 'scarce')
