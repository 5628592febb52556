"""Behave steps for the choice of instances and the retry budget."""

import random
from collections import Counter

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from ragworthollow.platform import InstanceEntry
from ragworthollow.retries import RetryBudget
from ragworthollow.routing import (
    PeerState,
    choose_instance,
    choose_subset,
    find_stragglers,
)
from ragworthollow.routing.choice import SelectionCriteria

_LATENCY_MS = 10
_CALL_INTERVAL_MS = 20


def _make_instance(number: int, domains: int = 2) -> InstanceEntry:
    return InstanceEntry(
        instance=f'i{number}',
        pool='p',
        failure_domain=f'd{number % domains}',
        address='',
    )


@given('{count:d} instances of which {which}')
def make_instances(context, count, which):
    context.states = [
        PeerState(instance=_make_instance(number)) for number in range(count)
    ]
    slow_ms = _LATENCY_MS * 10
    context.latencies_ms = {
        state.instance.instance: _LATENCY_MS for state in context.states
    }
    context.failing_instance = ''
    if which == 'one fails every call at once':
        context.failing_instance = 'i0'
    elif which == 'one takes ten times as long':
        context.latencies_ms['i0'] = slow_ms
    else:
        context.latencies_ms = dict.fromkeys(context.latencies_ms, slow_ms)


@when('{count:d} calls are routed')
def route_calls(context, count):
    rng = random.Random(1)
    context.calls = Counter()
    context.ejected = 0
    for number in range(count):
        now_ms = number * _CALL_INTERVAL_MS
        state = choose_instance(
            context.states, SelectionCriteria(), now_ms, rng
        )
        name = state.instance.instance
        context.calls[name] += 1
        if name == context.failing_instance:
            state.record_failure(now_ms)
        else:
            state.record_success(context.latencies_ms[name])
        for straggler in find_stragglers(context.states):
            context.ejected += 1
            straggler.avoid_until_ms = now_ms + 3000
            straggler.samples = 0


@then('it got fewer than {percent:d} in 100 of them')
def check_few_calls(context, percent):
    total = sum(context.calls.values())
    assert context.calls['i0'] < total * percent / 100, context.calls


@then('no instance is ejected')
def check_none_ejected(context):
    assert not context.ejected


@when('any instances come and go')
def choose_subsets(context):
    @for_all(st.integers(4, 40), st.integers(1, 8), st.randoms())
    @settings(derandomize=True, database=None, deadline=None)
    def check(count, size, rng):
        instances = [_make_instance(number, 4) for number in range(count)]
        before = choose_subset('entry', instances, size)
        domains = {one.failure_domain for one in before}
        assert len(domains) == min(size, 4)
        assert len(before) == min(size, count)
        gone = rng.choice(instances)
        left = [one for one in instances if one is not gone]
        rng.shuffle(left)
        after = choose_subset('entry', left, size)
        kept = set(before) - {gone}
        if size % 4 == 0 and count % 4 == 0:
            assert len(kept - set(after)) <= 1
        context.checked = True

    check()


@then('a subset covers every domain and changes only where it must')
def check_subset(context):
    assert context.checked


@when('a pool fails every call for a while')
def withdraw_retries(context):
    budget = RetryBudget()
    context.retries = 0
    for _ in range(2000):
        budget.deposit()
        while budget.withdraw():
            context.retries += 1


@then('further attempts stay near a tenth of the traffic')
def check_retry_rate(context):
    assert context.retries <= 2000 * 0.1 + 11, context.retries
