"""Behave steps for the directory, the choice of upstreams and the routes."""

import dataclasses
import random
from collections import defaultdict
from unittest import mock

import msgspec
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from result import Err

from ragworthollow.platform.configuration_wire import decode_configuration
from ragworthollow.routes import (
    RequestLimits,
    Route,
    RouteKind,
    RouteTable,
    WeightedPool,
)
from ragworthollow.upstreams import (
    Directory,
    LoadTracker,
    UpstreamCriteria,
    UpstreamInstance,
    choose_upstream,
)
from ragworthollow_daemon.gateway.instance_selection import InstanceSelection


def _make_instance(number: int, *, is_leaving=False) -> UpstreamInstance:
    return UpstreamInstance(
        instance=f'i{number}',
        pool='p',
        address=f'10.0.0.{number}:80',
        failure_domain='one',
        slots=64,
        is_leaving=is_leaving,
    )


def _make_directory() -> Directory:
    directory = Directory()
    directory.replace([_make_instance(0), _make_instance(1)], 0)
    return directory


def _get_names(directory: Directory) -> set[str]:
    return {instance.instance for instance in directory.get_pool('p')}


@when('a list shows i1 as leaving')
def show_leaving(context):
    context.directory = _make_directory()
    listed = [_make_instance(0), _make_instance(1, is_leaving=True)]
    context.change = context.directory.replace(listed, 100)


@when('a list shows i1 no longer')
def show_without(context):
    context.directory = _make_directory()
    context.change = context.directory.replace([_make_instance(0)], 100)


@then('i1 gets no work from then on')
def check_removed(context):
    assert _get_names(context.directory) == {'i0'}
    assert context.directory.get('i1') is None
    assert context.change.left == ('i1',)


@given('the store could not be read before the next list')
def record_outage(context):
    context.directory = _make_directory()
    context.directory.record_outage()


@when('lists at {first_ms:d} and {second_ms:d} show i1 no longer')
def show_without_twice(context, first_ms, second_ms):
    for now_ms in (first_ms, second_ms):
        context.directory.replace([_make_instance(0)], now_ms)


@when(
    'each list from {first:d} to {last:d} shows i1 no longer '
    'and is followed by a loss',
)
def show_without_between_outages(context, first, last):
    for now_ms in range(first, last + 1, 600):
        listed = [_make_instance(0)]
        context.change = context.directory.replace(listed, now_ms)
        context.directory.record_outage()


@when('lists come every {pace:d} from {first:d} on and i1 has left at {left:d}')
def leave_after_outage(context, pace, first, left):
    context.departure_ms = left
    lists_ms = range(first, _LAST_LIST_MS, pace)
    # i1 gets work until the first list after which it is not in the directory.
    context.removed_ms = next(
        now_ms
        for now_ms in lists_ms
        if not _replace_and_find(context.directory, now_ms, left)
    )


def _replace_and_find(directory, now_ms: int, left_ms: int) -> bool:
    """Apply a list of instances and return whether i1 still gets work."""
    numbers = (0, 1) if now_ms < left_ms else (0,)
    directory.replace([_make_instance(number) for number in numbers], now_ms)
    return 'i1' in _get_names(directory)


@then('i1 gets no work later than {bound_ms:d} after that')
def check_bound(context, bound_ms):
    assert context.removed_ms - context.departure_ms <= bound_ms, (
        context.removed_ms
    )


@then('i1 still gets work')
def check_kept(context):
    assert _get_names(context.directory) == {'i0', 'i1'}


@then('a list at {now_ms:d} that shows it no longer ends that')
def check_removed_by_list(context, now_ms):
    context.directory.replace([_make_instance(0)], now_ms)
    assert _get_names(context.directory) == {'i0'}


def _choose(instances, load_tracker, key='', now_ms=0):
    return choose_upstream(
        instances,
        load_tracker,
        UpstreamCriteria(affinity_key=key),
        now_ms,
        random.Random(1),
    )


def _make_incomputable_instance() -> UpstreamInstance:
    return dataclasses.replace(_make_instance(9), slots=10**400)


@given(
    'three idle instances, one of them with more slots than a float holds',
)
def add_incomputable_instance(context):
    context.instances = [
        _make_instance(0),
        _make_incomputable_instance(),
        _make_instance(1),
    ]


@given('only an instance with more slots than a float holds')
def set_incomputable_instance(context):
    context.instances = [_make_incomputable_instance()]


@when('{count:d} requests are sent one after the other, {affinity}')
def choose_in_turn(context, count, affinity):
    tracker = LoadTracker()
    context.chosen = []
    for number in range(count):
        key = f'prompt-{number}' if affinity == 'with shared prompts' else ''
        chosen = _choose(context.instances, tracker, key)
        tracker.get(chosen.instance).in_flight += 1
        context.chosen.append(chosen.instance)


@then(
    'each goes to one of the two other instances, and the log names the one',
)
def check_computable_chosen(context):
    assert set(context.chosen) == {'i0', 'i1'}, context.chosen
    named = {
        fields['peer']
        for event, fields in context.last_log_lines
        if event == 'instance_load_invalid'
    }
    assert named == {'i9'}, named


@then('each goes to that instance')
def check_only_instance(context):
    assert context.chosen == ['i9'], context.chosen


@when('the choice among engines fails for {count:d} requests to {path:S}')
def fail_engine_choice(context, count, path):
    stage = context.gateway_stage
    with mock.patch.object(
        InstanceSelection, 'choose_uneven_engine', side_effect=OverflowError
    ):
        context.responses = [stage.run(stage.send(path)) for _ in range(count)]


@then('all of them are answered by instances')
def check_answered(context):
    statuses = [response.status for response in context.responses]
    assert set(statuses) == {200}, statuses


@when('{count:d} requests of {prompts:d} prompts find idle instances')
def choose_for_prompts(context, count, prompts):
    instances = [_make_instance(number) for number in range(4)]
    context.instances_by_prompt = defaultdict(set)
    for number in range(count):
        key = f'prompt-{number % prompts}'
        chosen = _choose(instances, LoadTracker(), key)
        context.instances_by_prompt[key].add(chosen.instance)


@then('each prompt is read by one instance only')
def check_one_instance_per_prompt(context):
    assert all(
        len(names) == 1 for names in context.instances_by_prompt.values()
    )


@when(
    '{count:d} requests of 1 prompt run at once '
    'on {many:d} instances of 64 slots',
)
def run_one_prompt(context, count, many):
    instances = [_make_instance(number) for number in range(many)]
    load_tracker = LoadTracker()
    for _ in range(count):
        chosen = _choose(instances, load_tracker, 'hot')
        load_tracker.get(chosen.instance).in_flight += 1
    context.loads = [
        load_tracker.get(instance.instance).in_flight for instance in instances
    ]


@then('no instance has more than {most:d} of them')
def check_load(context, most):
    assert max(context.loads) <= most, context.loads


@when('i0 fails three times in a row')
def fail_three(context):
    context.load_tracker = LoadTracker()
    for now_ms in (0, 500, 1500):
        context.load_tracker.record_failure('i0', now_ms)


@then('it gets nothing for 2 seconds and is used again after that')
def check_avoided(context):
    instances = [_make_instance(0), _make_instance(1)]
    context.load_tracker.get('i1').in_flight = 10
    assert (
        _choose(instances, context.load_tracker, now_ms=3400).instance == 'i1'
    )
    assert (
        _choose(instances, context.load_tracker, now_ms=3501).instance == 'i0'
    )


@when('all instances fail')
def fail_all(context):
    context.load_tracker = LoadTracker()
    for number in range(2):
        context.load_tracker.record_failure(f'i{number}', 0)


@then('one of them is still chosen')
def check_chosen(context):
    instances = [_make_instance(0), _make_instance(1)]
    assert _choose(instances, context.load_tracker) is not None


def _make_table(prefixes) -> RouteTable:
    routes = [
        Route(
            name=prefix,
            host='h.example',
            path_prefix=prefix,
            kind=RouteKind.safe,
            weighted_pools=(WeightedPool(pool='p'),),
            timeout_ms=1,
            objective_ms=1,
        )
        for prefix in prefixes
    ]
    return RouteTable(
        version=1,
        routes=routes,
        pools={},
        holders_by_key={},
        requires_key=False,
        limits=RequestLimits(),
    )


_LAST_LIST_MS = 9000
_SEGMENTS = st.lists(st.sampled_from('ab'), max_size=4)


@then('for any routes the match is the longest prefix that begins the path')
def check_match(context):
    @settings(max_examples=300, deadline=None, derandomize=True)
    @for_all(prefixes=st.lists(_SEGMENTS), path=_SEGMENTS, end=st.booleans())
    def check(prefixes, path, end):
        written = {
            f'/{"/".join(segments)}/' if segments else '/'
            for segments in prefixes
        }
        asked = '/' + '/'.join(path) + ('/' if end and path else '')
        expected = max(
            (one for one in written if asked.startswith(one)),
            key=len,
            default=None,
        )
        found = _make_table(written).match('H.example:80', asked)
        assert (found and found.name) == expected

    check()


@then('broken configurations give an error that names the place')
def check_broken(context):
    configuration = {
        'version': 1,
        'routes': [{'name': 'r', 'host': 'h', 'path_prefix': '/'}],
    }
    for text, place in (
        (b'{', ''),
        (msgspec.json.encode(configuration), 'routes[0]'),
        (b'{"routes": []}', 'version'),
    ):
        decoded = decode_configuration(text)
        assert isinstance(decoded, Err)
        assert place in decoded.err_value.detail, decoded.err_value
