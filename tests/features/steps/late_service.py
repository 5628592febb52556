"""Steps for deferred requests and for the initial configuration."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when
from result import Err

from measure.fleet_model.experiment import Setting, Trial, play_records
from measure.fleet_model.outcome import sum_attained
from measure.fleet_model.virtual_time import VirtualLoop
from ragworthollow.conf import global_settings
from ragworthollow.metrics import Metrics
from ragworthollow.outcomes import Reason
from ragworthollow.utils import override_clocks
from ragworthollow_daemon.gateway.admission import Admission
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.deferral_queue import DeferralQueue
from ragworthollow_daemon.gateway.shutdown_state import ShutdownState
from tests.fixtures.body_budgets import make_body_budget

_SEEDS = (1, 2, 3)
_PATTERNS = ('bursts', 'lost-gin-sync')
_NO_DEFERRAL = (
    Setting(name='CALLER_TIMEOUT_FACTOR', value=0),
    Setting(name='CALLER_TIMEOUT_MIN_MS', value=0),
)
_PRIORITIES = (2, 0, 1)


class _DeferralStage:
    """Run a deferral queue on an event loop in virtual time."""

    def __init__(self) -> None:
        self.loop = VirtualLoop()
        self.capacity_from_ms = float('inf')
        self.instances_from_ms = 0
        self.quarantined_from_ms = float('inf')
        self.decisions = {}
        context = SimpleNamespace(
            metrics=Metrics(),
            directory=SimpleNamespace(get_pool=self._get_pool),
        )
        self.queue = DeferralQueue(
            context=context,
            get_waits_ms=lambda pools, _: dict.fromkeys(pools, 0),
            is_quarantined=lambda _: self.get_ms() >= self.quarantined_from_ms,
        )

    def get_ms(self) -> float:
        return self.loop.time() * 1000

    def run(self, coroutine):
        with override_clocks(self.get_ms):
            return self.loop.run_until_complete(coroutine)

    async def defer(
        self, name: str, latest_start_ms: float, priority: int
    ) -> None:
        """Defer a request; record the decision and its time in ms."""
        job = SimpleNamespace(
            pool='engines',
            request_parameters=SimpleNamespace(request_id=name),
            route=SimpleNamespace(name='r', stages=(), objective_ms=1000),
            get_rank=lambda: priority,
        )
        estimate = SimpleNamespace(
            get_latest_start_ms=lambda: latest_start_ms,
            estimate_lateness_if_new_ms=self._estimate_lateness_ms,
        )
        may_begin = await self.queue.wait(job, estimate)
        self.decisions[name] = (may_begin, round(self.get_ms()))

    async def advance(self, until_ms: float) -> None:
        """Start ready requests at the interval that a gateway uses."""
        while self.get_ms() < until_ms:
            self.queue.start_ready()
            await asyncio.sleep(global_settings.SCHEDULER_TICK_MS / 1000)

    async def play(self, *deferred, duration_ms: float = 6000) -> None:
        tasks = [asyncio.ensure_future(coroutine) for coroutine in deferred]
        await asyncio.sleep(0)
        await self.advance(self.get_ms() + duration_ms)
        await asyncio.gather(*tasks)

    def _get_pool(self, _pool):
        return ('i1',) if self.get_ms() >= self.instances_from_ms else ()

    def _estimate_lateness_ms(self, _waits_ms, now_ms) -> float:
        return -1000 if now_ms >= self.capacity_from_ms else 1000


@given('a request deferred at 0 ms that must begin by {latest_ms:d} ms')
def defer_one(context, latest_ms):
    context.stage = _DeferralStage()
    context.latest_start_ms = latest_ms


def _run_one_request(context) -> None:
    stage = context.stage
    stage.run(stage.play(stage.defer('one', context.latest_start_ms, 0)))


@when('the pools have capacity from {from_ms:d} ms on')
def set_capacity_start(context, from_ms):
    context.stage.capacity_from_ms = from_ms
    _run_one_request(context)


@when(
    'it is quarantined from {quarantined_ms:d} ms on and the pools have '
    'capacity from {from_ms:d} ms on'
)
def set_quarantine_start(context, quarantined_ms, from_ms):
    context.stage.quarantined_from_ms = quarantined_ms
    context.stage.capacity_from_ms = from_ms
    _run_one_request(context)


@when('the pools never have capacity')
def run_without_capacity(context):
    _run_one_request(context)


@when('its pool has no instance until {from_ms:d} ms')
def set_instances_start(context, from_ms):
    context.stage.capacity_from_ms = 0
    context.stage.instances_from_ms = from_ms
    _run_one_request(context)


@then('it starts at {at_ms:d} ms')
def check_started(context, at_ms):
    assert context.stage.decisions['one'] == (True, at_ms), (
        context.stage.decisions
    )


@then('it is refused at {at_ms:d} ms')
def check_refused(context, at_ms):
    if not context.stage.decisions:
        _run_one_request(context)
    assert context.stage.decisions['one'] == (False, at_ms), (
        context.stage.decisions
    )


@given('deferred requests of priorities 2, 0 and 1')
def defer_three(context):
    context.stage = _DeferralStage()


@when('the pools have capacity')
def start_in_order(context):
    stage = context.stage
    stage.capacity_from_ms = 0
    stage.run(
        stage.play(
            *(
                stage.defer(f'{priority}', 4000, priority)
                for priority in _PRIORITIES
            )
        ),
    )


@then('they begin in the order 0, 1, 2 with a ping between them')
def check_start_order(context):
    decisions = context.stage.decisions
    assert list(decisions) == ['0', '1', '2'], decisions
    starts = [at_ms for _, at_ms in decisions.values()]
    ping_ms = global_settings.HOST_PING_MS
    intervals_ms = [
        later - earlier for earlier, later in zip(starts, starts[1:])
    ]
    assert min(intervals_ms) >= ping_ms, decisions


@given('a pool that is short for {span_s:d} s, with 8 late requests a second')
def run_lasting_shortage(context, span_s):
    context.stage = _DeferralStage()
    context.stage.run(_run_lasting_shortage(context.stage, span_s * 1000))


async def _run_lasting_shortage(stage: _DeferralStage, span_ms: float) -> None:
    tasks = []
    while stage.get_ms() < span_ms:
        for number in range(4):
            now_ms = stage.get_ms()
            name = f'{now_ms}/{number}'
            request = stage.defer(name, now_ms + 2000, 0)
            tasks.append(asyncio.ensure_future(request))
        await stage.advance(stage.get_ms() + 500)
    await stage.advance(stage.get_ms() + 3000)
    await asyncio.gather(*tasks)


@then('of the last half at most one in ten was deferred without being served')
def check_few_deferred(context):
    decisions = list(context.stage.decisions.items())
    waited = [
        name
        for name, (_, ended_ms) in decisions
        if ended_ms - float(name.partition('/')[0]) >= 500
        and float(name.partition('/')[0]) > context.stage.get_ms() / 2
    ]
    assert len(waited) <= len(decisions) / 2 / 10, (len(waited), len(decisions))


@then('{pause_s:d} s later one is deferred again')
def check_deferred_again(context, pause_s):
    stage = context.stage
    stage.run(stage.advance(stage.get_ms() + pause_s * 1000))
    stage.capacity_from_ms = stage.get_ms() + 500
    again = stage.defer('again', stage.get_ms() + 2000, 0)
    stage.run(stage.play(again, duration_ms=3000))
    assert stage.decisions['again'][0], stage.decisions['again']


@when(
    'the model simulates bursts and the loss of an instance with deferral and '
    'without'
)
def play_both(context):
    context.with_deferral = _play_days(())
    context.without_deferral = _play_days(_NO_DEFERRAL)


def _play_days(settings):
    return [
        play_records(
            Trial(
                load='kingston',
                pattern=pattern,
                seed=seed,
                settings=settings,
            ),
        )
        for pattern in _PATTERNS
        for seed in _SEEDS
    ]


def _count_unserved(days) -> int:
    return sum(record.took_ms is None for day in days for record in day.records)


def _sum_attained(days) -> float:
    return sum(sum_attained(day.sheet, day.records) for day in days)


@then('at most half as many requests are unserved with it')
def check_unserved(context):
    with_deferral = _count_unserved(context.with_deferral)
    without_deferral = _count_unserved(context.without_deferral)
    assert with_deferral <= without_deferral / 2, (
        with_deferral,
        without_deferral,
    )


@then('no less of the worth is attained')
def check_attained(context):
    attained = _sum_attained(context.with_deferral)
    assert attained >= _sum_attained(context.without_deferral), attained


@given('a process without a configuration')
def make_unconfigured(context):
    context.stage = _DeferralStage()
    has_route_table = asyncio.Event()

    def set_route_table(table) -> None:
        context.owner.route_table = table
        has_route_table.set()

    async def wait_for_route_table(timeout_ms) -> None:
        await GatewayContext.wait_for_route_table(context.owner, timeout_ms)

    context.owner = SimpleNamespace(
        route_table=None,
        _has_route_table=has_route_table,
        set_route_table=set_route_table,
        wait_for_route_table=wait_for_route_table,
        stop=ShutdownState(),
    )


def _admit_request(context, limit_ms: int, after_ms: int | None):
    admission = Admission(context=context.owner)
    request = SimpleNamespace(
        headers={'X-Ragworthollow-Deadline-Ms': f'{limit_ms}', 'Host': 'h'},
        raw_path='/nowhere',
        remote='127.0.0.1',
    )

    async def admit():
        if after_ms is not None:
            table = SimpleNamespace(match=lambda *_: None)
            loop = asyncio.get_running_loop()
            loop.call_later(
                after_ms / 1000, context.owner.set_route_table, table
            )
        with make_body_budget().reserve() as reservation:
            return await admission.admit(request, 0, reservation)

    context.response = context.stage.run(admit())


@when(
    'a request comes with {limit_ms:d} ms '
    'and the configuration {after_ms:d} ms later',
)
def request_before_configuration(context, limit_ms, after_ms):
    _admit_request(context, limit_ms, after_ms)


@when('a request comes with {limit_ms:d} ms and no configuration does')
def request_without_configuration(context, limit_ms):
    _admit_request(context, limit_ms, None)


@then('the request is handled with that configuration')
def check_configuration_applied(context):
    assert isinstance(context.response, Err)
    assert context.response.err_value.reason is Reason.unknown_route


@then('it ends as one without a configuration')
def check_not_configured(context):
    assert context.response.err_value.reason is Reason.not_configured
    assert context.stage.get_ms() == 100, context.stage.get_ms()
