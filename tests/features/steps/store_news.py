"""Behave steps for gateways that send each other updates of the store."""

from dataclasses import replace

from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from measure.replica_fleet.fleet import play
from measure.replica_fleet.fleet_plan import FleetPlan, Trouble
from ragworthollow.conf import global_settings
from ragworthollow.replica import derive_poll_intervals
from tests.fixtures.news_model import NewsModel
from tests.fixtures.replica_variants import VARIANTS
from tests.standins.thin_link import BYTES_PER_MBIT

_TROUBLE_START_MS = 8000
# The interval between changes is not a multiple of any poll interval.
_CHANGES_MS = tuple(range(4000, 20_000, 617))
_SEEDS = (1, 2, 3)
_EXAMPLES = settings(max_examples=600, deadline=None, derandomize=True)
_GATEWAYS = st.integers(0, 2)
_UNUSED = st.just(0)
_INDEXES = st.integers(0, 1)
_MOVES = st.lists(
    st.one_of(
        st.tuples(st.just('put'), _INDEXES, _UNUSED),
        st.tuples(st.just('remove'), _INDEXES, _UNUSED),
        st.tuples(st.just('read'), _GATEWAYS, _UNUSED),
        st.tuples(st.just('suspend'), _GATEWAYS, _UNUSED),
        st.tuples(st.just('ask'), _GATEWAYS, _GATEWAYS),
        st.tuples(st.just('tell'), _INDEXES, _UNUSED),
        st.tuples(st.just('hear'), _INDEXES, _UNUSED),
    ),
    min_size=20,
    max_size=60,
)


@given(
    '{count:d} gateways that poll the same three, and a bound of {bound_ms:d} '
    'ms'
)
def make_plan(context, count, bound_ms):
    context.plan = FleetPlan(gateways=count, bound_ms=bound_ms)


@given('the first {count:d} of them are {kind:w} for {length_s:d} s')
def set_trouble_of_first(context, count, kind, length_s):
    _set_trouble(context, range(count), kind, length_s)


@given('the last {count:d} of them are {kind:w} for {length_s:d} s')
def set_trouble_of_last(context, count, kind, length_s):
    total = context.plan.gateways
    _set_trouble(context, range(total - count, total), kind, length_s)


def _set_trouble(context, gateways, kind: str, length_s: int) -> None:
    trouble = Trouble(
        kind=kind,
        start_ms=_TROUBLE_START_MS,
        end_ms=_TROUBLE_START_MS + length_s * 1000,
        gateways=frozenset(gateways),
    )
    context.plan = replace(context.plan, troubles=(trouble,))


@given(
    "the store's watches report nothing for {length_s:d} s and lose their "
    'history'
)
def interrupt_watches(context, length_s):
    moves = (
        (_TROUBLE_START_MS, 'fall_deaf'),
        (_TROUBLE_START_MS + length_s * 1000, 'drop_history'),
    )
    context.plan = replace(context.plan, store_moves=moves)


@given('values of {size_kb:d} kB behind links of {mbit_per_s:d} Mbit/s')
def limit_bandwidth(context, size_kb, mbit_per_s):
    context.plan = replace(
        context.plan,
        change_bytes=size_kb * 1000,
        bytes_per_s=mbit_per_s * BYTES_PER_MBIT,
    )


@when('keys of the store change while nothing else happens')
def play_calm(context):
    plan = replace(context.plan, changes_ms=_CHANGES_MS[:12], end_ms=14_000)
    context.outcomes = [play(plan)]


@when('keys of the store change all the while')
def play_changes(context):
    plan = replace(context.plan, changes_ms=_CHANGES_MS)
    context.outcomes = [play(plan, seed) for seed in _SEEDS]


@when('one key of the store changes')
def play_one_change(context):
    plan = replace(context.plan, changes_ms=_CHANGES_MS[:1], end_ms=14_000)
    context.outcomes = [play(plan)]


@then('the fleet reads the store at most {count:d} times a second')
def check_reads(context, count):
    (outcome,) = context.outcomes
    assert outcome.calls_per_s <= count, outcome.calls_per_s


@then('every gateway sees each change within {bound_ms:d} ms')
def check_seen_by_all(context, bound_ms):
    _check_seen(context, range(context.plan.gateways), bound_ms)


@then('every other gateway sees each change within {bound_ms:d} ms')
def check_seen_by_others(context, bound_ms):
    (trouble,) = context.plan.troubles
    others = set(range(context.plan.gateways)) - trouble.gateways
    _check_seen(context, sorted(others), bound_ms)


def _check_seen(context, gateways, bound_ms: int) -> None:
    worst_ms = [outcome.find_worst_ms(gateways) for outcome in context.outcomes]
    assert max(worst_ms) <= bound_ms, worst_ms


@then('no gateway ever goes back to an older state')
def check_never_reverted(context):
    assert not any(outcome.went_back for outcome in context.outcomes)


@then('no response to a ping is larger than {size:d} bytes')
def check_response_size(context, size):
    (outcome,) = context.outcomes
    assert outcome.largest_answer_bytes <= size, outcome.largest_answer_bytes


@when(
    'the poll intervals for bounds from {least_ms:d} to {most_ms:d} ms are '
    'derived'
)
def derive_intervals(context, least_ms, most_ms):
    context.intervals = {
        bound_ms: derive_poll_intervals(
            bound_ms=bound_ms,
            heartbeat_ms=global_settings.INSTANCE_HEARTBEAT_MS,
        )
        for bound_ms in range(least_ms, most_ms + 1, 100)
    }


@then(
    'a lost call and its repeat fit into {share:g} of each from {least:d} ms on'
)
def check_retry_fits(context, share, least):
    lost_ms = global_settings.STORE_TIMEOUT_MS + global_settings.STORE_RETRY_MS
    for bound_ms, intervals in context.intervals.items():
        assert (
            intervals.get_reader_staleness_ms(0) <= intervals.max_staleness_ms
        )
        if bound_ms >= least:
            assert intervals.max_staleness_ms + lost_ms < share * bound_ms, (
                bound_ms
            )


@then('no outage in which records expire goes unnoticed')
def check_outage_noticed(context):
    # A record lapses after three missed heartbeats; one may just be due.
    lapse_ms = 2 * global_settings.INSTANCE_HEARTBEAT_MS
    for intervals in context.intervals.values():
        noticed_ms = (
            intervals.max_staleness_ms + global_settings.STORE_TIMEOUT_MS
        )
        assert noticed_ms <= lapse_ms, intervals


@when('gateways read, request and receive updates in any order, also late')
def explore_orders(context):
    context.are_correct = _explore('')


@when(
    'gateways that {fault} read, request and receive updates in any order, '
    'also late'
)
def explore_faulty_orders(context, fault):
    context.are_correct = _explore(fault)


def _explore(fault: str) -> list[bool]:
    outcomes = []

    @_EXAMPLES
    @given_any(_MOVES)
    def play_moves(moves):
        model = NewsModel(
            make_replica=VARIANTS.get(fault, VARIANTS['']),
            clock_stands_still=fault == 'have a clock that stands still',
        )
        model.play(moves)
        outcomes.append(model.is_right)

    play_moves()
    return outcomes


@then(
    'each replica is a state that the store had, and its freshness is correct'
)
def check_all_correct(context):
    assert all(context.are_correct)


@then('a replica is no state that the store had, or its freshness is wrong')
def check_fault_detected(context):
    assert not all(context.are_correct)
