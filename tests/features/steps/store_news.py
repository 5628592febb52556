"""Steps of gateways that tell each other what the store holds."""

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
from tests.fixtures.news_variants import VARIANTS
from tests.standins.thin_link import BYTES_PER_MBIT

_TROUBLE_FROM_MS = 8000
# No step of the moments at which keys change is a multiple of any pace.
_CHANGES_MS = tuple(range(4000, 20_000, 617))
_SEEDS = (1, 2, 3)
_EXAMPLES = settings(max_examples=600, deadline=None, derandomize=True)
_GATEWAYS = st.integers(0, 2)
_NOTHING = st.just(0)
_FIRST = st.integers(0, 1)
_MOVES = st.lists(
    st.one_of(
        st.tuples(st.just('put'), _FIRST, _NOTHING),
        st.tuples(st.just('remove'), _FIRST, _NOTHING),
        st.tuples(st.just('read'), _GATEWAYS, _NOTHING),
        st.tuples(st.just('suspend'), _GATEWAYS, _NOTHING),
        st.tuples(st.just('ask'), _GATEWAYS, _GATEWAYS),
        st.tuples(st.just('tell'), _FIRST, _NOTHING),
        st.tuples(st.just('hear'), _FIRST, _NOTHING),
    ),
    min_size=20,
    max_size=60,
)


@given(
    '{count:d} gateways that ask the same three, '
    'and a bound of {bound_ms:d} ms',
)
def make_plan(context, count, bound_ms):
    context.plan = FleetPlan(gateways=count, bound_ms=bound_ms)


@given('the first {count:d} of them are {kind:w} for {length_s:d} s')
def trouble_first(context, count, kind, length_s):
    _trouble(context, range(count), kind, length_s)


@given('the last {count:d} of them are {kind:w} for {length_s:d} s')
def trouble_last(context, count, kind, length_s):
    total = context.plan.gateways
    _trouble(context, range(total - count, total), kind, length_s)


def _trouble(context, gateways, kind: str, length_s: int) -> None:
    trouble = Trouble(
        kind=kind,
        start_ms=_TROUBLE_FROM_MS,
        end_ms=_TROUBLE_FROM_MS + length_s * 1000,
        gateways=frozenset(gateways),
    )
    context.plan = replace(context.plan, troubles=(trouble,))


@given(
    "the store's watches hear nothing for {length_s:d} s "
    'and lose their history',
)
def silence_watches(context, length_s):
    moves = (
        (_TROUBLE_FROM_MS, 'fall_deaf'),
        (_TROUBLE_FROM_MS + length_s * 1000, 'drop_history'),
    )
    context.plan = replace(context.plan, store_moves=moves)


@given('values of {size_kb:d} kB behind links of {mbit_per_s:d} Mbit/s')
def thin_links(context, size_kb, mbit_per_s):
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
def check_all_see(context, bound_ms):
    _check_seen(context, range(context.plan.gateways), bound_ms)


@then('every other gateway sees each change within {bound_ms:d} ms')
def check_others_see(context, bound_ms):
    (trouble,) = context.plan.troubles
    others = set(range(context.plan.gateways)) - trouble.gateways
    _check_seen(context, sorted(others), bound_ms)


def _check_seen(context, gateways, bound_ms: int) -> None:
    worst = [one.find_worst_ms(gateways) for one in context.outcomes]
    assert max(worst) <= bound_ms, worst


@then('no gateway ever goes back to an older state')
def check_never_back(context):
    assert not any(one.went_back for one in context.outcomes)


@then('no answer to a ping is larger than {size:d} bytes')
def check_answer_size(context, size):
    (outcome,) = context.outcomes
    assert outcome.largest_answer_bytes <= size, outcome.largest_answer_bytes


@when('the paces for bounds from {least_ms:d} to {most_ms:d} ms are derived')
def derive(context, least_ms, most_ms):
    context.paces = {
        bound_ms: derive_poll_intervals(
            bound_ms=bound_ms,
            heartbeat_ms=global_settings.INSTANCE_HEARTBEAT_MS,
        )
        for bound_ms in range(least_ms, most_ms + 1, 100)
    }


@then(
    'a lost call and its repeat fit into {share:g} of each from {least:d} ms on'
)
def check_fit(context, share, least):
    lost_ms = global_settings.STORE_TIMEOUT_MS + global_settings.STORE_RETRY_MS
    for bound_ms, paces in context.paces.items():
        assert paces.get_reader_staleness_ms(0) <= paces.max_staleness_ms
        if bound_ms >= least:
            assert paces.max_staleness_ms + lost_ms < share * bound_ms, bound_ms


@then('no outage that lets entries lapse goes unnoticed')
def check_outage(context):
    # Three heartbeats of silence end an entry, of which one may just be due.
    lapse_ms = 2 * global_settings.INSTANCE_HEARTBEAT_MS
    for paces in context.paces.values():
        noticed_ms = paces.max_staleness_ms + global_settings.STORE_TIMEOUT_MS
        assert noticed_ms <= lapse_ms, paces


@when('gateways read, ask and hear in any order, also late')
def explore(context):
    context.are_right = _explore('')


@when('gateways that {fault} read, ask and hear in any order, also late')
def explore_wrong(context, fault):
    context.are_right = _explore(fault)


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


@then('each copy is a state that the store had, and its evidence is true')
def check_right(context):
    assert all(context.are_right)


@then('a copy is no state that the store had, or its evidence is false')
def check_wrong(context):
    assert not all(context.are_right)
