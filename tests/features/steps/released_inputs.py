"""Define steps for failures after the inputs of a stage were released."""

import asyncio
import random
from types import SimpleNamespace

import msgspec
from behave import given, then, when

from ragworthollow.conf import GatewaySettings
from ragworthollow.membership.gateway_member import GatewayMember
from ragworthollow.membership.host_reports import HostReports
from ragworthollow.pieces import PieceOutcome, PieceResult
from ragworthollow.transport.host_messages import HostState
from ragworthollow_daemon.gateway.latency_estimate import LatencyEstimate
from ragworthollow_daemon.gateway.piece_client import PieceClient
from ragworthollow_daemon.gateway.refusals import refuse
from ragworthollow_daemon.gateway.stage_graph_runner import StageGraphRunner
from tests.fixtures.chat_request import make_chat_job

_POOL = 'second'
_HANDLES = ('10.0.0.1:80/a', '10.0.0.1:80/b')


class _FailingClient:
    """Run stages, and find the inputs of one of them gone."""

    def __init__(self, *, gone_pool: str) -> None:
        self.requester = 'gateway'
        self.is_space_scarce = True
        self.kept = set()
        self.inputs_pools = {}
        self._gone_pool = gone_pool

    def announce(self, pool, priority, pieces):
        """Ignore announced pieces."""

    def release(self, pool, handles):
        """Release results, whether or not they were released before."""
        self.kept.difference_update(handles)

    def is_short_of_space(self, pool):
        return pool == _POOL

    def find_failure_domain(self, pool, handle):
        return ''

    def get_waits_ms(self, pools, priority):
        return dict.fromkeys(pools, 0)

    async def run(self, pool, pieces):
        await asyncio.sleep(0)
        self.inputs_pools[pool] = pieces[0].inputs_pool
        if pool == self._gone_pool:
            self.release(pool, pieces[0].inputs)
            return (PieceResult(outcome=PieceOutcome.input_gone),)
        self.kept.add(f'{pool}/0')
        return (PieceResult(outcome=PieceOutcome.done, handle=f'{pool}/0'),)


@given('a request whose second stage reads inputs that take scarce space')
def make_request(context):
    context.client = _FailingClient(gone_pool='third')


@when('a piece that failed after the release is sent again')
def find_gone(context):
    job = make_chat_job(2000, 0)
    runner = StageGraphRunner(
        client=context.client,
        job=job,
        estimate=LatencyEstimate(job=job, first_event_ms=0),
        failure_domain='one',
    )

    async def run():
        result = await runner.run()
        runner.release()
        return result

    context.failure = asyncio.run(run()).err_value
    assert context.client.inputs_pools['third'] == _POOL


@then('the request is refused as not run, with a time to come back')
def check_refused(context):
    response = refuse(context.failure, random.Random(1))  # noqa: S311
    assert response.status == 503
    assert float(response.headers['Retry-After']) > 0


@then('none of its results is kept')
def check_none_kept(context):
    assert not context.client.kept, context.client.kept


def _make_member(name: str) -> GatewayMember:
    return GatewayMember(
        instance=name,
        incarnation=f'{name}-1',
        peer_address=name,
        failure_domain='one',
    )


def _make_settings() -> GatewaySettings:
    return GatewaySettings(
        role='gateway',
        instance='g0',
        failure_domain='one',
        front_address='',
        ready_address='',
        peer_address='',
        store_url='http://store',
        scarce_result_space=True,
    )


@given('inputs of a pool whose scheduler another gateway hosts')
def make_client(context):
    context.told = []
    context.released_here = []
    context.answers = True
    context.tasks = []

    async def notify(_context, host, release):
        context.told.append((host.instance, release.pool, release.handles))
        return context.answers

    def keep_releaser(release):
        context.release_inputs = release

    context.members = SimpleNamespace(
        find_host=lambda _: _make_member('g1'), reports=HostReports()
    )
    context.piece_client = PieceClient(
        context=SimpleNamespace(
            settings=_make_settings(),
            incarnation='g0-1',
            spawn=context.tasks.append,
        ),
        members=context.members,
        service=SimpleNamespace(
            set_input_releaser=keep_releaser,
            release=lambda pool, handles: context.released_here.append(
                (pool, tuple(handles))
            ),
        ),
        send_release=notify,
    )


@when('they are released by the host of the stage that has read them')
def release_inputs(context):
    context.release_inputs(_POOL, _HANDLES)
    (task,) = context.tasks
    asyncio.run(task)


@when('they are released while that gateway does not answer')
def release_unanswered(context):
    context.answers = False
    context.release_inputs(_POOL, _HANDLES)
    (task,) = context.tasks
    asyncio.run(task)


@then('that other gateway is told')
def check_told(context):
    assert context.told == [('g1', _POOL, _HANDLES)]
    assert not context.released_here


@then('the instance that keeps them is told')
def check_released_here(context):
    assert context.released_here == [(_POOL, _HANDLES)]


@given('a host that reported that a pool is short of space')
def report_shortage(context):
    make_client(context)
    reports = context.members.reports
    reports.record(HostState(instance='g1', short_of_space=(_POOL,)))
    assert context.piece_client.is_short_of_space(_POOL)


@when('the pool has another host')
def change_host(context):
    context.members.find_host = lambda _: _make_member('g2')


@then('the pool does not count as short of space for requests')
def check_no_shortage(context):
    assert not context.piece_client.is_short_of_space(_POOL)


@when('a host answers without the field for shortages')
def answer_without_field(context):
    context.state = msgspec.json.decode(
        b'{"instance": "g1", "waits_ms": {"second": [0]}}', type=HostState
    )


@then('none of its pools counts as short of space')
def check_old_version(context):
    reports = HostReports()
    reports.record(context.state)
    assert not reports.is_short_of_space(_POOL, 'g1')
