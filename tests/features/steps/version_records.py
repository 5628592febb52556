"""Steps for the records of software versions in the store."""

import base64
from collections import Counter

import msgspec
from behave import given, then, when

from ragworthollow.upstreams import (
    PoolVersions,
    StreamOrigin,
    StreamSegment,
    StreamVersions,
    VersionRegistry,
)
from ragworthollow.upstreams.longest_resume_times import (
    LongestResumeTimes,
)
from ragworthollow.upstreams.recorded_streams import RecordedStreams
from tests.fixtures.version_model import Variant, VersionModel

_POOL = 'plain'
_PROPAGATION_MS = 2000
_RETENTION_MS = 26_000
_LIST_INTERVAL_MS = 500
_MODEL_S = 200
_FAULTS = {
    'no records': Variant(has_records=False),
    'early removal': Variant(retention_ms=0),
    'suspended clock': Variant(counts_suspend=False),
    'no read': Variant(reads_record=False),
}
_JUNK = '{"settled": ' + '[' * 1000


def _begin(context, recorded, listed) -> None:
    context.registry = VersionRegistry(propagation_ms=_PROPAGATION_MS)
    context.recorded = {_POOL: recorded}
    context.listed = {_POOL: listed}
    context.now_ms = 0
    _observe(context)


def _observe(context) -> None:
    context.registry.observe(context.listed, context.recorded, context.now_ms)


def _find_change(context) -> PoolVersions | None:
    return context.registry.find_change(_POOL, _RETENTION_MS)


def _wait(context, wait_ms: float) -> None:
    """See a list every `_LIST_INTERVAL_MS` for some time."""
    for _ in range(int(wait_ms // _LIST_INTERVAL_MS)):
        context.now_ms += _LIST_INTERVAL_MS
        _observe(context)


@given('a pool whose recorded version is v1, and a list with v1 and v2')
def begin_announced(context):
    _begin(context, PoolVersions(settled=('v1',)), ('v1', 'v2'))


@given('a pool whose recorded version is v1, and a list with v1')
def begin_single(context):
    _begin(context, PoolVersions(settled=('v1',)), ('v1',))


@given('a pool whose recorded versions are v1 and v2, and a list with v2')
def begin_missing(context):
    _begin(context, PoolVersions(settled=('v1', 'v2')), ('v2',))


@given(
    'a pool whose recorded version is v1, and a list with {count:d} versions'
)
def begin_many(context, count):
    listed = tuple(f'v{number}' for number in range(1, count + 1))
    _begin(context, PoolVersions(settled=('v1',)), listed)


@when('no list is seen for {gap_ms:d} ms after {before_ms:d} ms')
def miss_lists(context, gap_ms, before_ms):
    _wait(context, before_ms)
    context.now_ms += gap_ms
    _observe(context)


@when('the store is restored from before v2 was recorded')
def restore_store(context):
    context.registry.retain({_POOL: PoolVersions(settled=('v1', 'v2'))})
    _observe(context)


@then('v2 is announced at once')
def check_announced(context):
    change = _find_change(context)
    assert change == PoolVersions(settled=('v1',), announced=('v2',)), change
    context.recorded = {_POOL: change}
    _observe(context)


@then('v2 is settled only after it has been announced for {settle_ms:d} ms')
def check_settled(context, settle_ms):
    _wait(context, settle_ms - _LIST_INTERVAL_MS)
    assert _find_change(context) is None
    _wait(context, _LIST_INTERVAL_MS)
    assert _find_change(context) == PoolVersions(settled=('v1', 'v2'))


@then('v1 is removed only after it has been missing for {missing_ms:d} ms')
def check_removed(context, missing_ms):
    _wait(context, missing_ms - _LIST_INTERVAL_MS)
    assert _find_change(context) is None
    _wait(context, _LIST_INTERVAL_MS)
    assert _find_change(context) == PoolVersions(settled=('v2',))


@then('nothing is removed while no version is listed')
def check_kept(context):
    context.listed = {}
    _wait(context, 2 * _RETENTION_MS)
    assert _find_change(context) is None


@then('v2 is still recorded, and written again')
def check_retained(context):
    both = PoolVersions(settled=('v1', 'v2'))
    assert context.registry.merge_retained(context.recorded) == {_POOL: both}
    assert _find_change(context) == both
    context.recorded = {_POOL: both}
    _observe(context)
    _wait(context, _RETENTION_MS)
    assert _find_change(context) == PoolVersions(settled=('v1',))


@then('the longer time limit holds until the streams of its time have ended')
def check_longest(context):
    times = LongestResumeTimes()
    assert times.update({_POOL: 30_000}, 0) == {_POOL: 30_000}
    assert times.update({_POOL: 5000}, 29_999) == {_POOL: 30_000}
    assert times.update({_POOL: 5000}, 30_001) == {_POOL: 5000}


@then('its resumptions are refused until it has seen the lists of their time')
def check_unobserved(context):
    model = VersionModel(seed=0, variant=Variant())
    sources = model.decide_without_records()
    assert sources == ['unobserved', 'list'], sources


@then('the record is left as it is')
def check_unchanged(context):
    assert _find_change(context) is None


@then('a stream with records of v1 and v2 is uncertain')
def check_differing(context):
    context.streams = RecordedStreams()
    context.streams.set(
        's/1', 'g1', StreamSegment(pools={_POOL: {'v1': ['r1', 'r2']}})
    )
    context.streams.set(
        's/2', 'g2', StreamSegment(pools={_POOL: {'v2': ['r1']}})
    )
    assert context.streams.find('r1').software_version is None
    assert context.streams.find('r2').software_version == 'v1'


@then('a stream with a record of v1 and an uncertain one is uncertain')
def check_uncertain(context):
    context.streams.set('s/3', 'g3', StreamSegment(uncertain=['r2']))
    assert context.streams.find('r2').software_version is None


@then('a stream whose record was removed is not known')
def check_unknown(context):
    for key in context.streams.list_keys():
        context.streams.remove(key)
    assert context.streams.find('r1') is None


def _make_origin(
    pool: str, expires_ms: float = 100, *, is_relayed_here: bool = True
) -> StreamOrigin:
    return StreamOrigin(
        software_version='v1',
        instance='i1',
        began_ms=0,
        expires_ms=expires_ms,
        pool=pool,
        is_relayed_here=is_relayed_here,
    )


@then('only unexpired streams of the pools with several versions are written')
def check_taken(context):
    context.versions = StreamVersions(limit=10)
    for request_id, origin in (
        ('mine', _make_origin(_POOL)),
        ('expired', _make_origin(_POOL, 5)),
        ('of-peer', _make_origin(_POOL, is_relayed_here=False)),
        ('other-pool', _make_origin('other')),
    ):
        context.versions.record(request_id, origin, 0)
    taken = context.versions.take_unrecorded([_POOL], 10, 50)
    assert taken.keys() == {'mine'}, taken
    assert not context.versions.take_unrecorded([_POOL], 10, 50)


@then('an instance that restarted makes its streams be written again')
def check_taken_again(context):
    context.versions.forget_version('i1', 0)
    (origin,) = context.versions.take_unrecorded([_POOL], 10, 50).values()
    assert origin.software_version is None


@then('no stream is joined with seeds {first:d} to {last:d}, and some go on')
def check_model(context, first, last):
    for seed in range(first, last + 1):
        counts = _run_model(seed, Variant())
        assert not counts['joined'], (seed, counts)
        assert counts['resumed'], (seed, counts)


@then('a model of gateways joins streams with seed {seed:d}: {fault}')
def check_faulty_model(context, seed, fault):
    counts = _run_model(seed, _FAULTS[fault])
    assert counts['joined'], counts


def _run_model(seed: int, variant: Variant) -> Counter[str]:
    model = VersionModel(seed=seed, variant=variant)
    model.run(_MODEL_S)
    return model.counts


@when('another writer replaces the recorded versions by junk')
def write_junk_record(context):
    stage = context.gateway_stage
    directory = stage.get_context().directory
    stage.run(stage.wait_for(lambda: _POOL in directory.recorded_versions))
    stage.run(stage.write({f'pool-versions/{_POOL}': _JUNK}))


@then('the gateway writes the record again')
def check_written_again(context):
    stage = context.gateway_stage
    entries = stage.store.entries
    key = f'pool-versions/{_POOL}'
    junk_revision = entries[key].revision
    stage.run(stage.wait_for(lambda: entries[key].revision > junk_revision))
    directory = stage.get_context().directory
    assert directory.recorded_versions[_POOL].settled == ('v1',)


@given('a backup of the store with version v1')
def back_up(context):
    stage = context.gateway_stage
    stage.run(stage.wait_for(lambda: _get_recorded(stage) == {'v1'}))
    context.backup = stage.store.save()


@given('a recorded version v2 whose instance has left')
def record_left_version(context):
    stage = context.gateway_stage
    directory = stage.get_context().directory
    stage.run(stage.publish_instance('u2', _POOL, version='v2'))
    stage.run(stage.wait_for(lambda: _get_recorded(stage) == {'v1', 'v2'}))
    stage.run(stage.remove_instance('u2'))
    stage.run(stage.wait_for(lambda: len(directory.get_pool(_POOL)) == 1))


@then('the gateway writes v1 and v2 again')
def check_both_written_again(context):
    stage = context.gateway_stage
    stage.run(stage.wait_for(lambda: _get_recorded(stage) == {'v1', 'v2'}))


def _get_recorded(stage) -> frozenset[str]:
    """Return the versions in the store; none if the record is junk."""
    entry = stage.store.entries.get(f'pool-versions/{_POOL}')
    if entry is None:
        return frozenset()
    text = base64.b64decode(entry.value)
    try:
        return msgspec.json.decode(text, type=PoolVersions).list_all()
    except (msgspec.DecodeError, RecursionError):
        return frozenset()


@when('another writer leaves a segment of streams that is junk')
def write_junk_segment(context):
    stage = context.gateway_stage
    stage.run(stage.write({'streams/other/1': _JUNK}))


@then('the gateway still follows the list')
def check_follows(context):
    stage = context.gateway_stage
    stage.run(stage.add_upstream('u9', _POOL))
    directory = stage.get_context().directory
    stage.run(stage.wait_for(lambda: directory.get('u9') is not None))
