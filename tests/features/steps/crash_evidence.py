"""Steps of the evidence against requests that crash instances."""

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
    EvidenceExchange,
    make_fingerprint,
)
from ragworthollow.upstreams import Directory, UpstreamInstance
from ragworthollow_daemon.gateway.crash_detector import CrashDetector

_TERM_MS = 300_000
_HOUR_MS = 3_600_000
_WORK = 'work'
_GATEWAYS = ('g1', 'g2', 'g3')
_HOST = '127.0.0.1'
_SEEDS = range(5)
_PATTERNS = {
    'one harmful request': Scenario(),
    'three harmful requests': Scenario(harmful=3),
    'a hot harmless request': Scenario(hot_share=0.4),
    'crashes by chance alone': Scenario(harmful=0, crashes_per_s=0.5),
}


def _make_ledger(**limits) -> CrashRegistry:
    return CrashRegistry(crash_limit=2, quarantine_ms=_TERM_MS, **limits)


def _crash(context, count) -> None:
    for _ in range(count):
        context.crashes += 1
        context.ledger.record_crash(
            _WORK, f'i{context.crashes}', context.now_ms
        )


@given('a request that was running in {count:d} crashes')
def crash_first(context, count):
    context.ledger = _make_ledger()
    context.now_ms = 1_000
    context.crashes = 0
    _crash(context, count)


@when('it ends well and is running in {count:d} further crashes')
def end_well(context, count):
    context.ledger.clear(_WORK, context.now_ms)
    _crash(context, count)


@when('it is running in {count:d} further crashes')
def crash_again(context, count):
    _crash(context, count)


@when('that time has passed')
def pass_time(context):
    context.now_ms += _TERM_MS


@when('{hours:d} hours have passed and another request was running in a crash')
def pass_hours(context, hours):
    context.now_ms += hours * _HOUR_MS
    context.ledger.record_crash('another', 'i9', context.now_ms)


@then('only that one is remembered')
def check_forgotten(context):
    assert context.ledger.count() == 1
    assert context.ledger.get_record('another')


@then('it is not quarantined')
def check_let_in(context):
    assert not context.ledger.get_remaining_ms(_WORK, context.now_ms)


@then('it is quarantined for {seconds:d} seconds')
def check_quarantined(context, seconds):
    left_ms = context.ledger.get_remaining_ms(_WORK, context.now_ms)
    assert left_ms == seconds * 1000, left_ms


def _make_exchange(name: str, ledger: CrashRegistry) -> EvidenceExchange:
    return EvidenceExchange(
        incarnation=name,
        registry=ledger,
        on_quarantine=lambda _: None,
    )


_PAIRS = st.permutations(_GATEWAYS).map(lambda names: names[:2])
_MOVES = st.lists(
    st.one_of(
        st.tuples(
            st.just('crash'),
            st.sampled_from(_GATEWAYS),
            st.sampled_from('abc'),
            st.sampled_from(('i1', 'i2', 'i3')),
        ),
        st.tuples(
            st.just('clear'),
            st.sampled_from(_GATEWAYS),
            st.sampled_from('abc'),
        ),
        st.tuples(st.just('restart'), st.sampled_from(_GATEWAYS)),
        st.tuples(st.just('ask'), _PAIRS),
        st.tuples(st.just('lose'), _PAIRS),
        st.tuples(st.just('repeat'), _PAIRS),
    ),
    max_size=40,
)


class _Fleet:
    """Hold gateways that tell each other of evidence."""

    def __init__(self) -> None:
        self.ledgers: dict[str, CrashRegistry] = {}
        self._exchanges: dict[str, EvidenceExchange] = {}
        self._now_ms = 0
        for name in _GATEWAYS:
            self._start(name)

    def _start(self, name: str) -> None:
        """Start a gateway, which knows nothing of its earlier process."""
        ledger = _make_ledger()
        incarnation = f'{name}-{self._now_ms}'
        self.ledgers[name] = ledger
        self._exchanges[name] = _make_exchange(incarnation, ledger)

    def play(self, move) -> None:
        self._now_ms += 10
        kind, *rest = move
        if kind == 'crash':
            name, work, instance = rest
            self.ledgers[name].record_crash(work, instance, self._now_ms)
        elif kind == 'restart':
            self._start(rest[0])
        elif kind == 'clear':
            name, work = rest
            self.ledgers[name].clear(work, self._now_ms)
        else:
            self.tell(*rest[0], is_lost=kind == 'lose')
            if kind == 'repeat':
                self.tell(*rest[0], is_lost=False)

    def tell(self, teller: str, hearer: str, *, is_lost: bool) -> None:
        news = self._exchanges[teller].make_update(hearer, self._now_ms)
        if news is not None and not is_lost:
            self._exchanges[hearer].apply_update(teller, news, self._now_ms)

    def settle(self) -> None:
        for _ in range(2 * len(_GATEWAYS)):
            for teller in _GATEWAYS:
                for hearer in _GATEWAYS:
                    if teller != hearer:
                        self.tell(teller, hearer, is_lost=False)

    def has_news(self) -> bool:
        """Tell whether any gateway has something left to say."""
        return any(
            exchange.make_update(hearer, self._now_ms) is not None
            for teller, exchange in self._exchanges.items()
            for hearer in _GATEWAYS
            if hearer != teller
        )

    def get_verdicts(self) -> list[list[bool]]:
        return [
            [
                bool(ledger.get_remaining_ms(work, self._now_ms))
                for work in 'abc'
            ]
            for ledger in self.ledgers.values()
        ]


@then('any exchange of any evidence ends in one verdict of all gateways')
def check_agreement(context):
    @settings(max_examples=200, derandomize=True, deadline=None)
    @for_all(_MOVES)
    def check(moves):
        fleet = _Fleet()
        for move in moves:
            fleet.play(move)
        fleet.settle()
        first, *others = fleet.get_verdicts()
        assert all(verdict == first for verdict in others)
        assert not fleet.has_news()

    check()


@given('a gateway that knows of {count:d} requests that are quarantined')
def know_many(context, count):
    context.ledger = _make_ledger()
    for number in range(count):
        for instance in ('i1', 'i2'):
            context.ledger.record_crash(f'work-{number}', instance, 0)
    context.host = _make_exchange('host', context.ledger)


@when(
    'a gateway asks it {count:d} times, starts again and asks {again:d} times'
)
def ask_and_restart(context, count, again):
    for incarnation, asked in (('first', count), ('second', again)):
        context.asker = _make_ledger()
        exchange = _make_exchange(incarnation, context.asker)
        for _ in range(asked):
            question = exchange.make_update('host', 0)
            context.host.apply_update('asker', question, 0)
            exchange.apply_update(
                'host', context.host.make_update('asker', 0), 0
            )


@then('it quarantines {count:d} requests')
def check_told(context, count):
    assert len(context.asker.list_quarantined(0)) == count


@given('a memory for {count:d} requests, one of which is quarantined')
def make_small_memory(context, count):
    context.ledger = _make_ledger(max_records=count)
    for instance in ('i1', 'i2'):
        context.ledger.record_crash(_WORK, instance, 0)


@when('{count:d} others have been running in a crash')
def fill_memory(context, count):
    for number in range(count):
        context.ledger.record_crash(f'other-{number}', 'i3', number)


@then('{count:d} are remembered, and the one is still quarantined')
def check_memory(context, count):
    assert context.ledger.count() == count
    assert context.ledger.get_remaining_ms(_WORK, count)


@when('a request loses its connection to an instance that {state}')
def lose_connection(context, state):
    context.noted = asyncio.run(_lose_connection(state))


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
    noted: list[str] = []
    watch = CrashDetector(
        directory=directory,
        metrics=Metrics(),
        spawn=asyncio.ensure_future,
        on_crash=lambda _, running: noted.extend(running),
    )
    if state != 'listens':
        server.close()
        await server.wait_closed()
    if state == 'has ended after leaving':
        left = dataclasses.replace(instance, is_leaving=True)
        directory.replace([left], 1)
    watch.record_connection_loss(instance, [_WORK])
    await watch.wait_for_crash_check(instance)
    server.close()
    return noted


@then('the request has been in {count:d} crashes')
def check_noted(context, count):
    assert len(context.noted) == count, context.noted


@then('requests are the same work only with one organisation, target and body')
def check_fingerprints(context):
    work = {
        'organisation': 'one',
        'method': 'POST',
        'host': 'service.example',
        'target': '/safe/1?a=b',
        'body': b'body',
    }
    others = (
        {'organisation': 'two'},
        {'method': 'PUT'},
        {'target': '/safe/1?a=c'},
        {'body': b'other'},
        # The end of one part is not the beginning of the next.
        {'organisation': 'onePOST', 'method': ''},
    )
    own = make_fingerprint(**work)
    assert own == make_fingerprint(**{**work, 'host': 'Service.Example'})
    found = {make_fingerprint(**{**work, **other}) for other in others}
    assert len(found) == len(others)
    assert own not in found


@when('the fleet is played with {pattern}')
def play_fleet(context, pattern):
    context.played = _PATTERNS[pattern]
    context.counts = Counter()
    for seed in _SEEDS:
        model = CrashModel(scenario=context.played, seed=seed)
        context.counts.update(model.play())


@then('it loses at most {count:d} instances for each harmful request')
def check_lost(context, count):
    most = count * context.played.harmful * len(_SEEDS)
    assert context.counts['harmful runs'] <= most, context.counts


@then('it refuses at most 1 in {count:d} harmless requests')
def check_refused(context, count):
    harmless = context.counts['harmless runs'] + context.counts['refused']
    assert context.counts['refused'] * count <= harmless, context.counts
