"""Define steps for what gateways know of engines."""

from dataclasses import replace
from types import SimpleNamespace

from behave import given, then, when

from ragworthollow.balancing import (
    EngineReport,
    EngineReports,
    EngineView,
    WorkTimes,
)
from ragworthollow.balancing.engine_reports import limit_engines
from ragworthollow.conf import global_settings
from ragworthollow.exchange import RequestParameters
from ragworthollow.platform.response_wire import read_response_metadata
from ragworthollow.routes import UpstreamPool
from ragworthollow.throttling import Throttle
from ragworthollow.upstreams import LoadTracker
from ragworthollow_daemon.gateway.attempt_series import AttemptSeries
from ragworthollow_daemon.gateway.engine_exchange import make_engine_reports
from ragworthollow_daemon.gateway.response_metadata import (
    apply_response_metadata,
)
from tests.fixtures.engines import make_engine

_TOKENS_PER_MS = 50
_FAST = 0.7
_SLOW = 1.7
_REPORT_MS = 250


@when('an instance reports work times of 0.7, 1.75, 0.7 and 1.75 in one second')
def report_noise(context):
    context.work_times = WorkTimes()
    for position, ratio in enumerate((0.7, 1.75, 0.7, 1.75)):
        context.work_times.record('i0@1', ratio, position * 250)


@then('its usual work time is {ratio:g}')
def check_usual(context, ratio):
    assert context.work_times.get('i0@1', 1000) == ratio


@then('it is {ratio:g} when it has reported nothing less for 6 s')
def check_turned_slow(context, ratio):
    for now_ms in range(1250, 7250, 250):
        context.work_times.record('i0@1', ratio, now_ms)
    assert context.work_times.get('i0@1', 7250) == ratio


@then('nothing is known of it when it has reported nothing for 6 s')
def check_silent(context):
    assert context.work_times.get('i0@1', 14_000) is None


@when(
    'a gateway that reported {requests:d} requests at an engine '
    'is silent for {silent_ms:d} ms'
)
def fall_silent(context, requests, silent_ms):
    reports = EngineReports()
    reports.record('gateway', {'e@1': EngineReport(requests=requests)}, 0)
    assert reports.merge_others('other', 999, 10)
    context.heard = reports.merge_others('other', silent_ms, 10)


@then('the others hear of none of them')
def check_nothing_heard(context):
    assert not context.heard


@when('two gateways report {first:d} and {second:d} requests at one engine')
def report_twice(context, first, second):
    context.counts = {'one': first, 'two': second}
    context.reports = EngineReports()
    for gateway, requests in context.counts.items():
        context.reports.record(
            gateway, {'e@1': EngineReport(requests=requests)}, 0
        )


@then("each hears of the other's only")
def check_others_only(context):
    for gateway, other in (('one', 'two'), ('two', 'one')):
        heard = context.reports.merge_others(gateway, 1, 10)
        assert heard['e@1'].requests == context.counts[other]


@given('a gateway heard of {requests:d} requests at an engine')
def hear_requests(context, requests):
    context.view = EngineView(load_tracker=LoadTracker())
    report = EngineReport(requests=requests, work_time_ratio=1.7)
    context.view.record_others({make_engine(0).get_incarnation(): report}, 0)
    (state,) = context.view.make_states([make_engine(0)], 1)
    assert state.requests == requests


@when('the engine starts again under its name')
def start_again(context):
    again = make_engine(0, started_unix_ms=2)
    (context.state,) = context.view.make_states([again], 2)


@then('its state shows no request and no speed')
def check_empty_state(context):
    assert context.state.requests == 0
    assert context.state.work_time_ratio is None


@when('it hears nothing more for {silent_ms:d} ms')
def hear_nothing(context, silent_ms):
    (context.state,) = context.view.make_states([make_engine(0)], silent_ms)


@then('the state of the engine shows no request of others')
def check_no_others(context):
    assert context.state.requests == 0
    assert context.state.work_time_ratio == 1.7


@then('at 30, 300 and 410 gateways a host sends at most 250 kB/s of reports')
def check_bound(context):
    pings_per_s = 1000 / global_settings.HOST_PING_MS
    for gateways in (30, 300, 410):
        sent = (
            limit_engines(gateways)
            * global_settings.ENGINE_REPORT_BYTES
            * gateways
            * pings_per_s
        )
        assert sent <= global_settings.ENGINE_REPORTS_BYTES_PER_S, sent


@then('no gateway sends or gets more than 29 kB/s of them')
def check_gateway_bound(_context):
    pings_per_s = 1000 / global_settings.HOST_PING_MS
    for gateways in (30, 300, 410):
        sent = (
            limit_engines(gateways)
            * global_settings.ENGINE_REPORT_BYTES
            * pings_per_s
        )
        assert sent <= 29_000, sent


@given('a prompt of {tokens:d} tokens is being read by an engine')
def start_reading(context, tokens):
    context.tracker = LoadTracker()
    job = SimpleNamespace(
        request_parameters=RequestParameters(
            request_id='r', prompt_tokens=tokens
        ),
        pool='engines',
        get_allowed_regions=lambda: None,
    )
    context.series = AttemptSeries(
        context=SimpleNamespace(load_tracker=context.tracker, route_table=None),
        job=job,
        inputs=(),
    )
    context.attempt = context.series.track_in_flight(make_engine(0))
    context.attempt.__enter__()
    assert context.tracker.get('engine-0').unread_tokens == tokens


@when('the engine starts again under its name and the attempt ends')
def end_after_restart(context):
    context.tracker.forget_incarnation('engine-0')
    context.attempt.__exit__(None, None, None)


@then('the engine has {tokens:d} unread tokens')
def check_unread(context, tokens):
    assert context.tracker.get('engine-0').unread_tokens == tokens


@given(
    'an engine with a request, and one of the {kind} answers with load "{load}"'
)
def answer_with_load(context, kind, load):
    engine = make_engine(0)
    plain = replace(make_engine(1), pool='plain')
    tracker = LoadTracker()
    context.gateway = SimpleNamespace(
        load_tracker=tracker,
        members=4,
        engine_view=EngineView(load_tracker=tracker),
        route_table=SimpleNamespace(
            pools={
                'engines': UpstreamPool(
                    name='engines', max_connections=10, is_engine=True
                ),
                'plain': UpstreamPool(name='plain', max_connections=10),
            }
        ),
        directory=SimpleNamespace(
            get_pool=lambda pool: (engine if pool == 'engines' else plain,)
        ),
        throttle=Throttle(gateway='g', propagation_ms=0),
    )
    apply_response_metadata(
        context.gateway,
        engine if kind == 'engines' else plain,
        read_response_metadata(200, {'X-Ragworthollow-Server-Load': load}),
        sent_ms=0,
    )


@then('its gateway reports on {count:d} engines')
def check_reports(context, count):
    context.gateway.load_tracker.get('engine-0').in_flight = 1
    assert len(make_engine_reports(context.gateway)) == count
