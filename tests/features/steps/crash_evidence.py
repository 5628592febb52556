"""Define steps for evidence against requests that crash instances."""

import asyncio
import dataclasses
from collections import Counter

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from measure.quarantine_model.model import CrashModel
from measure.quarantine_model.scenario import Scenario
from ragworthollow.metrics import Metrics
from ragworthollow.quarantine import (
    CrashRegistry,
    CrashReport,
    EvidenceExchange,
    QuarantineLimits,
    RunningRequest,
    make_fingerprint,
)
from ragworthollow.upstreams import Directory, UpstreamInstance
from ragworthollow_daemon.gateway.crash_detector import CrashDetector

_QUARANTINE_MS = 300_000
_HOUR_MS = 3_600_000
_FINGERPRINT = 'work'
_GATEWAYS = ('g1', 'g2', 'g3')
_HOST = '127.0.0.1'
_SEEDS = range(5)
_PROMPTS = Scenario(harmful=0, templates=3, documents=40, harmful_from_s=15)
_SCENARIOS = {
    'one harmful request': Scenario(),
    'three harmful requests': Scenario(harmful=3),
    'a hot harmless request': Scenario(hot_share=0.4),
    'crashes by chance alone': Scenario(harmful=0, crashes_per_s=0.5),
    'one harmful part': dataclasses.replace(_PROMPTS, harmful_parts=1),
    'a harmful part from the start': dataclasses.replace(
        _PROMPTS, harmful_parts=1, harmful_from_s=0
    ),
    'a harmful part in many requests': dataclasses.replace(
        _PROMPTS, harmful_parts=1, harmful_part_per_s=8
    ),
    'two harmful parts': dataclasses.replace(_PROMPTS, harmful_parts=2),
    'a harmful part and crashes by chance': dataclasses.replace(
        _PROMPTS, harmful_parts=1, crashes_per_s=0.2
    ),
}


def _make_registry(**limits) -> CrashRegistry:
    return CrashRegistry(
        limits=QuarantineLimits(crashes=2, quarantine_ms=_QUARANTINE_MS),
        **limits,
    )


def _record_crashes(context, count) -> None:
    for _ in range(count):
        context.crashes += 1
        context.registry.record_crash(
            RunningRequest(fingerprint=_FINGERPRINT),
            f'i{context.crashes}',
            context.now_ms,
        )


@given('a request that was running in {count:d} crashes')
def create_crashing_request(context, count):
    context.registry = _make_registry()
    context.now_ms = 1_000
    context.crashes = 0
    _record_crashes(context, count)


@when('it succeeds and is running in {count:d} further crashes')
def succeed_then_crash(context, count):
    context.registry.clear(_FINGERPRINT, context.now_ms)
    _record_crashes(context, count)


@when('it is running in {count:d} further crashes')
def crash_again(context, count):
    _record_crashes(context, count)


@when('that time has passed')
def advance_past_quarantine(context):
    context.now_ms += _QUARANTINE_MS


@when('{hours:d} hours have passed and another request was running in a crash')
def advance_hours(context, hours):
    context.now_ms += hours * _HOUR_MS
    context.registry.record_crash(
        RunningRequest(fingerprint='another'), 'i9', context.now_ms
    )


@then('only that request is remembered')
def check_forgotten(context):
    assert context.registry.count() == 1
    assert context.registry.get_record('another')


@then('it is not quarantined')
def check_not_quarantined(context):
    assert not context.registry.get_remaining_ms(
        (_FINGERPRINT,), context.now_ms
    )


@then('it is quarantined for {seconds:d} seconds')
def check_quarantined(context, seconds):
    remaining_ms = context.registry.get_remaining_ms(
        (_FINGERPRINT,), context.now_ms
    )
    assert remaining_ms == seconds * 1000, remaining_ms


def _make_exchange(
    incarnation: str, registry: CrashRegistry
) -> EvidenceExchange:
    return EvidenceExchange(
        incarnation=incarnation,
        registry=registry,
    )


_PARTS = ('part-x', 'part-y')
_PAIRS = st.permutations(_GATEWAYS).map(lambda names: names[:2])
_ACTIONS = st.lists(
    st.one_of(
        st.tuples(
            st.just('crash'),
            st.sampled_from(_GATEWAYS),
            st.sampled_from('abc'),
            st.sets(st.sampled_from(_PARTS)),
            st.sampled_from(('i1', 'i2', 'i3', 'i4')),
        ),
        st.tuples(
            st.just('clear'),
            st.sampled_from(_GATEWAYS),
            st.sampled_from(('a', 'b', 'c', *_PARTS)),
        ),
        st.tuples(st.just('restart'), st.sampled_from(_GATEWAYS)),
        st.tuples(st.just('ask'), _PAIRS),
        st.tuples(st.just('lose'), _PAIRS),
        st.tuples(st.just('repeat'), _PAIRS),
    ),
    max_size=40,
)


class _Fleet:
    """Simulate gateways that exchange crash evidence."""

    def __init__(self) -> None:
        self.registries: dict[str, CrashRegistry] = {}
        self._exchanges: dict[str, EvidenceExchange] = {}
        self._now_ms = 0
        for name in _GATEWAYS:
            self._start(name)

    def _start(self, name: str) -> None:
        """Start a gateway process without the state of its predecessor."""
        registry = _make_registry()
        incarnation = f'{name}-{self._now_ms}'
        self.registries[name] = registry
        self._exchanges[name] = _make_exchange(incarnation, registry)

    def perform(self, action) -> None:
        self._now_ms += 10
        kind, *rest = action
        if kind == 'crash':
            name, fingerprint, parts, instance = rest
            running = RunningRequest(
                fingerprint=fingerprint,
                part_fingerprints=tuple(sorted(parts)),
                started_ms=self._now_ms - 5,
            )
            self.registries[name].record_loss(running.part_fingerprints)
            self.registries[name].record_crash(running, instance, self._now_ms)
        elif kind == 'restart':
            self._start(rest[0])
        elif kind == 'clear':
            name, fingerprint = rest
            self.registries[name].record_success(fingerprint, self._now_ms)
        else:
            self.send_update(*rest[0], is_lost=kind == 'lose')
            if kind == 'repeat':
                self.send_update(*rest[0], is_lost=False)

    def send_update(self, sender: str, receiver: str, *, is_lost: bool) -> None:
        update = self._exchanges[sender].make_update(receiver, self._now_ms)
        if update is not None and not is_lost:
            self._exchanges[receiver].apply_update(sender, update, self._now_ms)

    def converge(self) -> None:
        for _ in range(2 * len(_GATEWAYS)):
            for sender in _GATEWAYS:
                for receiver in _GATEWAYS:
                    if sender != receiver:
                        self.send_update(sender, receiver, is_lost=False)

    def has_pending_updates(self) -> bool:
        """Return whether any gateway has an update to send."""
        return any(
            exchange.make_update(receiver, self._now_ms) is not None
            for sender, exchange in self._exchanges.items()
            for receiver in _GATEWAYS
            if receiver != sender
        )

    def get_decisions(self) -> list[list[bool]]:
        return [
            [
                bool(registry.get_remaining_ms((fingerprint,), self._now_ms))
                for fingerprint in ('a', 'b', 'c', *_PARTS)
            ]
            for registry in self.registries.values()
        ]


@then(
    'any exchange of any evidence ends in the same quarantine decision of all '
    'gateways'
)
def check_agreement(context):
    @settings(max_examples=200, derandomize=True, deadline=None)
    @for_all(_ACTIONS)
    def check(actions):
        fleet = _Fleet()
        for action in actions:
            fleet.perform(action)
        fleet.converge()
        first, *others = fleet.get_decisions()
        assert all(decisions == first for decisions in others)
        assert not fleet.has_pending_updates()

    check()


@given('a report of a crash that came after {delay_ms:d} ms')
def receive_report(context, delay_ms):
    context.registry = _make_registry()
    _apply_delayed(context.registry, delay_ms)
    context.number = context.registry.last_number


@when('the same report comes after {delay_ms:d} ms')
def receive_report_again(context, delay_ms):
    _apply_delayed(context.registry, delay_ms)


@then('there is nothing new to send')
def check_nothing_new(context):
    assert context.registry.last_number == context.number


def _apply_delayed(registry, delay_ms) -> None:
    report = CrashReport(
        fingerprint=_FINGERPRINT, crash_ages_ms={'i1': 100 - delay_ms}
    )
    registry.apply_report(report, 1_000)


@given('a gateway that knows of {count:d} requests that are quarantined')
def quarantine_many(context, count):
    context.registry = _make_registry()
    for number in range(count):
        for instance in ('i1', 'i2'):
            context.registry.record_crash(
                RunningRequest(fingerprint=f'work-{number}'),
                f'{instance}-{number}',
                0,
            )
    context.host = _make_exchange('host', context.registry)


@when(
    'a gateway asks it {count:d} times, starts again and asks {again:d} times'
)
def request_and_restart(context, count, again):
    for incarnation, request_count in (('first', count), ('second', again)):
        context.requester = _make_registry()
        exchange = _make_exchange(incarnation, context.requester)
        for _ in range(request_count):
            request = exchange.make_update('host', 0)
            context.host.apply_update('asker', request, 0)
            exchange.apply_update(
                'host', context.host.make_update('asker', 0), 0
            )


@then('it quarantines {count:d} requests')
def check_received(context, count):
    assert len(context.requester.list_quarantined(0)) == count


@given('a memory for {count:d} requests, one of which is quarantined')
def make_bounded_registry(context, count):
    context.registry = _make_registry(max_records=count)
    for instance in ('i1', 'i2'):
        context.registry.record_crash(
            RunningRequest(fingerprint=_FINGERPRINT), instance, 0
        )


@when('{count:d} others have been running in a crash')
def fill_registry(context, count):
    for number in range(count):
        context.registry.record_crash(
            RunningRequest(fingerprint=f'other-{number}'), 'i3', number
        )


@then('{count:d} are remembered, and the one is still quarantined')
def check_bounded_registry(context, count):
    assert context.registry.count() == count
    assert context.registry.get_remaining_ms((_FINGERPRINT,), count)


@when('a request loses its connection to an instance that {state}')
def lose_connection(context, state):
    context.crashed_requests = asyncio.run(_lose_connection(state))


async def _lose_connection(state: str) -> list[str]:
    server = await asyncio.start_server(lambda *_: None, _HOST, 0)
    port = server.sockets[0].getsockname()[1]
    instance = UpstreamInstance(
        instance='i1',
        pool='p',
        address=f'{_HOST}:{port}',
        failure_domain='one',
        slots=1,
    )
    directory = Directory()
    directory.replace([instance], 0)
    crashed_requests: list[str] = []
    detector = CrashDetector(
        directory=directory,
        metrics=Metrics(),
        spawn=asyncio.ensure_future,
        on_crash=lambda _, running: crashed_requests.extend(running),
    )
    if state != 'listens':
        server.close()
        await server.wait_closed()
    if state == 'has ended after leaving':
        leaving = dataclasses.replace(instance, is_leaving=True)
        directory.replace([leaving], 1)
    detector.record_connection_loss(
        instance, [RunningRequest(fingerprint=_FINGERPRINT)]
    )
    await detector.wait_for_crash_check(instance)
    server.close()
    return crashed_requests


@then('the request has been in {count:d} crashes')
def check_crash_count(context, count):
    assert len(context.crashed_requests) == count, context.crashed_requests


@then('requests are the same work only with one organisation, target and body')
def check_fingerprints(context):
    request = {
        'organisation': 'one',
        'method': 'POST',
        'host': 'service.example',
        'target': '/safe/1?a=b',
        'body': b'body',
    }
    changes = (
        {'organisation': 'two'},
        {'method': 'PUT'},
        {'target': '/safe/1?a=c'},
        {'body': b'other'},
        # Fields must be delimited: text moved across a field boundary gives
        # another fingerprint.
        {'organisation': 'onePOST', 'method': ''},
    )
    fingerprint = make_fingerprint(**request)
    assert fingerprint == make_fingerprint(
        **{**request, 'host': 'Service.Example'}
    )
    changed = {make_fingerprint(**{**request, **change}) for change in changes}
    assert len(changed) == len(changes)
    assert fingerprint not in changed


@when('the fleet is simulated with {pattern}')
def simulate_fleet(context, pattern):
    context.crash_scenario = _SCENARIOS[pattern]
    context.counts = Counter()
    context.late_part_runs = []
    for seed in _SEEDS:
        model = CrashModel(scenario=context.crash_scenario, seed=seed)
        context.counts.update(model.play())
        context.late_part_runs += model.late_part_runs.values()


@then('it loses at most {count:d} instances for each harmful request')
def check_lost(context, count):
    max_lost = count * context.crash_scenario.harmful * len(_SEEDS)
    assert context.counts['harmful runs'] <= max_lost, context.counts


@then('it refuses at most 1 in {count:d} harmless requests')
def check_refused(context, count):
    harmless = context.counts['harmless runs'] + context.counts['refused']
    assert context.counts['refused'] * count <= harmless, context.counts
