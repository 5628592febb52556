"""Define steps for the choice among engines of uneven speed."""

import random
from collections import Counter
from dataclasses import replace
from types import SimpleNamespace

from behave import given, then, when

from ragworthollow.balancing import (
    EngineChoice,
    EngineCriteria,
    EngineState,
    EngineView,
    are_uneven,
    choose_engine,
    nominate_engines,
)
from ragworthollow.balancing.choice import ChoiceReason
from ragworthollow.exchange import RequestParameters
from ragworthollow.routes import UpstreamPool
from ragworthollow.upstreams import LoadTracker
from ragworthollow_daemon.gateway.instance_selection import InstanceSelection
from tests.fixtures.engines import make_engine

_TOKENS_PER_MS = 50
_FAST = 0.7
_SLOW = 1.7
_REPORT_MS = 250


def _choose(states, key: str, **fields) -> EngineState:
    return _make_choice(states, affinity_key=key, **fields).state


def _make_choice(states, **fields) -> EngineChoice:
    """Nominate engines and choose one, as a gateway does."""
    ratios = _get_ratios(states)
    ordered = sorted(ratios.values())
    criteria = EngineCriteria(
        usual_ratio=ordered[len(ordered) // 2] if ordered else 1, **fields
    )
    by_name = {state.instance.instance: state for state in states}
    nominees = nominate_engines(
        [state.instance for state in states], ratios, criteria
    )
    return choose_engine(
        [by_name[nominee.instance] for nominee in nominees], criteria
    )


def _get_ratios(states) -> dict[str, float]:
    return {
        state.instance.instance: state.work_time_ratio
        for state in states
        if state.work_time_ratio is not None
    }


@given('{count:d} engines of which each third takes 2.4 times as long')
def make_engines(context, count):
    context.states = [
        EngineState(
            instance=make_engine(number),
            work_time_ratio=_SLOW if number % 3 == 2 else _FAST,
        )
        for number in range(count)
    ]


@given('{count:d} engines of which nothing is known')
def make_unknown_engines(context, count):
    context.states = [
        EngineState(instance=make_engine(number)) for number in range(count)
    ]


@when('{prompts:d} prompts of 500 to 40000 tokens arrive within {seconds:d} s')
def read_prompts(context, prompts, seconds):
    total_speed = sum(1 / state.work_time_ratio for state in context.states)
    even_ratio = len(context.states) / total_speed
    even = [
        replace(state, work_time_ratio=even_ratio) for state in context.states
    ]
    step_ms = seconds * 1000 / prompts
    context.read, context.took_ms = _read_prompts(
        context.states, prompts, step_ms
    )
    _, context.even_took_ms = _read_prompts(even, prompts, step_ms)


def _read_prompts(states, prompts: int, step_ms: float):
    """Read prompts one after the other; choices see reports 250 ms old."""
    rng = random.Random(prompts)  # noqa: S311
    unread = Counter()
    read = Counter()
    took_ms = []
    reported = {}
    for number in range(prompts):
        if number * step_ms % _REPORT_MS < step_ms:
            reported = dict(unread)
        known = [
            replace(
                state,
                unread_tokens=int(reported.get(state.instance.instance, 0)),
            )
            for state in states
        ]
        tokens = min(40_000, int(500 + rng.lognormvariate(7.5, 1)))
        chosen = _choose(known, f'prompt-{number}', unshared_tokens=tokens)
        name = chosen.instance.instance
        unread[name] += tokens
        read[name] += tokens
        took_ms.append(unread[name] * chosen.work_time_ratio / _TOKENS_PER_MS)
        for state in states:
            name = state.instance.instance
            done = step_ms * _TOKENS_PER_MS / state.work_time_ratio
            unread[name] = max(0, unread[name] - done)
    return read, sorted(took_ms)


@then(
    'the 99th percentile of the time to read them is at most {factor:g} times '
    'that of even engines'
)
def check_wait(context, factor):
    position = len(context.took_ms) * 99 // 100
    uneven_ms = context.took_ms[position]
    even_ms = context.even_took_ms[position]
    assert uneven_ms <= factor * even_ms, (uneven_ms, even_ms)


@then('each slow engine reads at most two thirds of what a fast one reads')
def check_slow(context):
    means = {}
    for ratio in (_FAST, _SLOW):
        tokens = [
            context.read[state.instance.instance]
            for state in context.states
            if state.work_time_ratio == ratio
        ]
        means[ratio] = sum(tokens) / len(tokens)
    assert means[_SLOW] <= means[_FAST] * 2 / 3, means


@when(
    '{gateways:d} gateways choose for {count:d} prompts each '
    'before they hear again'
)
def choose_alike(context, gateways, count):
    context.chosen = Counter(
        _choose(
            context.states, f'{gateway}/{number}', unshared_tokens=3000
        ).instance.instance
        for gateway in range(gateways)
        for number in range(count)
    )


@then('no engine gets more than a fifth of the prompts')
def check_spread(context):
    most = max(context.chosen.values())
    assert most <= context.chosen.total() / 5, context.chosen


@given('engine 0 is the only one with nothing to read')
def load_all_but_first(context):
    context.states = [
        replace(state, unread_tokens=0 if number == 0 else 20_000)
        for number, state in enumerate(context.states)
    ]


@when('engine 0 has {tokens:d} tokens to read')
def load_first(context, tokens):
    context.states[0] = replace(context.states[0], unread_tokens=tokens)


@when('engine 0 reported a moment ago that work takes {ratio:g} times as long')
def slow_first(context, ratio):
    context.states[0] = replace(
        context.states[0], current_work_time_ratio=ratio
    )


@when(
    'engine 0 has all its slots taken and the others {tokens:d} tokens to read'
)
def fill_first(context, tokens):
    first, *others = context.states
    context.states = [
        replace(first, requests=first.instance.slots),
        *(replace(state, unread_tokens=tokens) for state in others),
    ]


@then('none of {count:d} prompts of {tokens:d} tokens goes there')
def check_avoided(context, count, tokens):
    for number in range(count):
        chosen = _choose(context.states, f'{number}', unshared_tokens=tokens)
        assert chosen is not context.states[0], number


@when(
    '{count:d} prompts share a part of {tokens:d} tokens '
    'and their engine has {more:d} more to read'
)
def share_part(context, count, tokens, more):
    home = _choose(
        context.states, 'part', unshared_tokens=1000, shared_tokens=tokens
    )
    states = [
        replace(state, unread_tokens=more) if state is home else state
        for state in context.states
    ]
    context.chosen = Counter(
        _choose(
            states, 'part', unshared_tokens=1000, shared_tokens=tokens
        ).instance.instance
        for _ in range(count)
    )
    assert home.instance.instance in context.chosen, context.chosen


@then('all of them go to one engine')
def check_one(context):
    assert len(context.chosen) == 1, context.chosen


@when('the engine expected for a prompt has {tokens:d} tokens more to read')
def load_expected(context, tokens):
    expected = _choose(context.states, 'prompt', unshared_tokens=3000)
    context.expected = expected.instance.instance
    context.states = [
        replace(state, unread_tokens=tokens) if state is expected else state
        for state in context.states
    ]


@then('the prompt goes there all the same')
def check_expected(context):
    choice = _make_choice(
        context.states,
        affinity_key='prompt',
        unshared_tokens=3000,
        expected=context.expected,
    )
    assert choice.state.instance.instance == context.expected
    assert choice.reason is ChoiceReason.expected


@then('they do not count as uneven')
def check_unknown_even(context):
    assert not are_uneven(sorted(_get_ratios(context.states).values()))


@then('one whose speed is unknown is weighted like the usual one')
def check_unknown_weight(context):
    known = [replace(state, work_time_ratio=1) for state in context.states]
    unknown = [context.states[0], *known[1:]]
    for number in range(200):
        key = f'{number}'
        assert _choose(known, key).instance == _choose(unknown, key).instance, (
            number
        )


@given('engines that take {times} times the usual')
def make_listed(context, times):
    context.states = [
        EngineState(instance=make_engine(number), work_time_ratio=float(ratio))
        for number, ratio in enumerate(times.split(','))
    ]


@then('they count as {verdict:w}')
def check_verdict(context, verdict):
    ratios = sorted(_get_ratios(context.states).values())
    assert are_uneven(ratios) is (verdict == 'uneven')


@then('a choice among {count:d} engines looks at {states:d} states at most')
def check_states_needed(context, count, states):
    instances = [make_engine(number) for number in range(count)]
    criteria = EngineCriteria(affinity_key='prompt')
    nominees = nominate_engines(instances, {}, criteria)
    assert len(nominees) <= states, len(nominees)


@then('a choice without reported work times looks at none')
def check_none_needed(context):
    view = EngineView(load_tracker=LoadTracker())
    assert not view.has_work_times()
    selection = InstanceSelection(
        context=SimpleNamespace(engine_view=view), job=_make_engine_job()
    )
    assert selection.choose_uneven_engine(_UnreadableInstances()) is None


class _UnreadableInstances:
    """Fail if a choice goes through the engines."""

    def __iter__(self):
        raise AssertionError('the engines were gone through')


def _make_engine_job() -> SimpleNamespace:
    pool = UpstreamPool(name='engines', max_connections=10, is_engine=True)
    return SimpleNamespace(
        pool='engines',
        request_parameters=RequestParameters(request_id='r'),
        route_table=SimpleNamespace(pools={'engines': pool}),
    )
