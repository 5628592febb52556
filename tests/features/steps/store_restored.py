"""Behave steps for a store that is restored from a backup."""

import asyncio
import base64

import msgspec
from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st
from result import Ok

from measure.fleet_model.virtual_time import run_virtually
from measure.replica_fleet.store_session import StoreSession
from ragworthollow.conf import global_settings
from ragworthollow.platform.store_position import StorePosition
from ragworthollow.platform.store_snapshot import StoreSnapshot
from ragworthollow.platform.stored import Stored
from ragworthollow.platform.transaction import Put, compare_with
from ragworthollow.replica import Replica
from ragworthollow.utils import override_clocks
from tests.fixtures.news_model import NewsModel
from tests.fixtures.odd_records import make_odd_record
from tests.fixtures.replica_variants import VARIANTS
from tests.fixtures.store_pollers import make_store_poller

_CONFIGURATION_KEY = 'op/config'
_DRAIN_KEY = 'op/evacuate/one'
_INSTANCE_KEY = 'servers/odd'
_GATEWAY_KEY = 'gateways/g2'
_QUARANTINE_KEY = 'quarantine/some-key'
_KEYS = st.sampled_from(('op/config', 'servers/a', 'servers/b'))
_WATCH_FAULTS = ('fall_deaf', 'fall_mute', 'drop_history')
_ACTIONS = ('save', 'restore', 'poll', 'poll', *_WATCH_FAULTS)
_MOVES = st.lists(
    st.one_of(
        st.tuples(st.sampled_from(('put', 'remove')), _KEYS),
        st.tuples(st.sampled_from(_ACTIONS), st.just('')),
    ),
    min_size=20,
    max_size=40,
)
_GATEWAYS = st.integers(0, 2)
_UNUSED = st.just(0)
_WRITES = (
    'put',
    'remove',
    'configure',
    'configure_again',
    'save',
    'restore',
)
_NEWS_MOVES = st.lists(
    st.one_of(
        st.tuples(st.sampled_from(_WRITES), _UNUSED, _UNUSED),
        st.tuples(st.just('read'), _GATEWAYS, _UNUSED),
        st.tuples(st.just('ask'), _GATEWAYS, _GATEWAYS),
        st.tuples(st.sampled_from(('tell', 'hear')), _GATEWAYS, _UNUSED),
    ),
    min_size=15,
    max_size=50,
)
_EXAMPLES = settings(max_examples=300, deadline=None, derandomize=True)


@given('the store was backed up, and has advanced by {count:d} revisions')
def write_after_backup(context, count):
    stage = context.gateway_stage
    context.backup = stage.store.save()

    async def write() -> None:
        for number in range(count):
            await stage.write({'op/other': str(number)})
        replica = stage.get_context().replica
        await stage.wait_for(
            lambda: replica.view.revision >= stage.store.revision,
        )

    stage.run(write())


@when('the store is restored from its backup')
def restore_store(context):
    context.gateway_stage.store.restore(context.backup)


@when('the operators write version {version:d} without the route of {prefix:S}')
def remove_route(context, version, prefix):
    stage = context.gateway_stage
    routes = [
        route
        for route in stage.configuration['routes']
        if route['path_prefix'] != prefix
    ]
    stage.run(stage.configure(version=version, routes=routes))


@given(
    'the operators wrote version {version:d} without the route of {prefix:S}'
)
def remove_route_before(context, version, prefix):
    context.routes = context.gateway_stage.configuration['routes']
    remove_route(context, version, prefix)
    check_version(context, version)


@when('the operators write version {version:d} with all routes')
def write_all_routes(context, version):
    stage = context.gateway_stage
    stage.run(stage.configure(version=version, routes=context.routes))


@when('the gateway has read it')
def wait_until_read(context):
    stage = context.gateway_stage
    view = stage.get_context().replica.view
    stage.run(
        stage.wait_for(
            lambda: (
                (view.timeline, view.revision)
                == (stage.store.timeline, stage.store.revision)
            ),
        ),
    )


@given('failure domain one was drained')
def drain_domain(context):
    stage = context.gateway_stage
    directory = stage.get_context().directory
    stage.run(stage.write({_DRAIN_KEY: '{}'}))
    stage.run(stage.wait_for(lambda: not directory.get_pool('plain')))


@when('the operators drain domain one again, and restore it')
def drain_and_restore_domain(context):
    stage = context.gateway_stage
    stage.run(stage.write({_DRAIN_KEY: '{}'}))
    wait_until_read(context)
    stage.run(stage.write({_DRAIN_KEY: None}))


@given('the record of {name:w} has reported that it shuts down')
def mark_leaving(context, name):
    stage = context.gateway_stage
    stage.run(stage.publish_instance(name, 'plain', state='draining'))
    _wait_until_removed(stage, name)


@given('the record of {name:w} was removed')
def remove_entry(context, name):
    stage = context.gateway_stage
    stage.run(stage.remove_instance(name))
    _wait_until_removed(stage, name)


def _wait_until_removed(stage, name: str) -> None:
    directory = stage.get_context().directory
    stage.run(stage.wait_for(lambda: directory.get(name) is None))


@when('{name:w} writes its record again')
def write_entry(context, name):
    stage = context.gateway_stage
    stage.run(stage.publish_instance(name, 'plain'))


@then('{name:w} gets nothing of {count:d} requests')
def check_no_requests(context, name, count):
    stage = context.gateway_stage
    for _ in range(count):
        stage.run(stage.send('/safe/answer'))
    assert not stage.upstreams[name].runs


@then('{name:w} gets work again')
def check_in_directory(context, name):
    stage = context.gateway_stage
    directory = stage.get_context().directory
    stage.run(stage.wait_for(lambda: directory.get(name) is not None))


@when('a gateway starts before that')
def start_other(context):
    stage = context.gateway_stage
    stage.run(stage.add_gateway('g2'))
    gateway = stage.get_context('g2')
    stage.run(stage.wait_for(lambda: gateway.route_table is not None))


@given('another gateway has started and is registered')
def register_other(context):
    stage = context.gateway_stage
    start_other(context)
    stage.run(stage.wait_for(lambda: _GATEWAY_KEY in stage.store.entries))


@then('the other gateway is in the store again')
def check_registered(context):
    stage = context.gateway_stage
    assert _GATEWAY_KEY not in stage.store.entries
    stage.run(stage.wait_for(lambda: _GATEWAY_KEY in stage.store.entries))


@then('version {version:d} is active')
def check_version(context, version):
    _check_version(context, version, 'g1')


@then('version {version:d} is active there')
def check_version_there(context, version):
    _check_version(context, version, 'g2')


def _check_version(context, version, name) -> None:
    stage = context.gateway_stage
    gateway = stage.get_context(name)
    stage.run(stage.wait_for(lambda: gateway.route_table.version == version))


@then('a caller of {path:S} is answered {status:d}')
def check_answered(context, path, status):
    _check_answered(context, path, status, 'g1')


@then('a caller of {path:S} is answered {status:d} there')
def check_answered_there(context, path, status):
    _check_answered(context, path, status, 'g2')


def _check_answered(context, path, status, name) -> None:
    stage = context.gateway_stage
    response = stage.run(stage.send(path, gateway=name))
    assert response.status == status, response


@then('a caller of {path:S} is answered {status:d} soon')
def check_answered_soon(context, path, status):
    stage = context.gateway_stage
    directory = stage.get_context().directory
    stage.run(stage.wait_for(lambda: len(directory.get_pool('plain')) == 2))
    check_answered(context, path, status)


@when('a key is read, lost and written anew under the same revision')
def reuse_revision(context):
    stage = context.gateway_stage
    store = stage.get_context().store
    # The gateway writes its own record at any time, so each write follows the
    # backup or the restore before the event loop runs again.
    backup = stage.store.save()
    stage.store.put_bytes(_QUARANTINE_KEY, b'first')
    context.read_value = stage.run(store.read(_QUARANTINE_KEY)).ok_value
    assert context.read_value.text == 'first', context.read_value
    stage.store.restore(backup)
    stage.store.put_bytes(_QUARANTINE_KEY, b'second')
    rewritten = stage.run(store.read(_QUARANTINE_KEY)).ok_value
    assert rewritten.text == 'second', rewritten
    assert rewritten.mod_revision == context.read_value.mod_revision


@then('a write that compares it with what was read is not made')
def check_write_rejected(context):
    stage = context.gateway_stage
    store = stage.get_context().store
    written = stage.run(
        store.commit(
            compares=(compare_with(_QUARANTINE_KEY, context.read_value),),
            puts=(Put(key=_QUARANTINE_KEY, text='third'),),
        ),
    )
    assert written == Ok(False), written
    assert stage.run(store.read(_QUARANTINE_KEY)).ok_value.text == 'second'


@then(
    'a lost key is retained for a while, and a version until the store has '
    'caught up'
)
def check_retention(context):
    drain = Stored(text='{}', mod_revision=7)
    newer = Stored(text='{"version": 5}', mod_revision=8)
    older = Stored(text='{"version": 4}', mod_revision=3)
    replica = Replica()
    replica.replace(
        _make_snapshot({_DRAIN_KEY: drain, _CONFIGURATION_KEY: newer}, 8, 0), 0
    )
    replica.replace(_make_snapshot({_CONFIGURATION_KEY: older}, 3, 1), 100)
    expires_ms = 100 + global_settings.RESTORED_RETENTION_MS
    assert _DRAIN_KEY in replica.get_entries(expires_ms - 1)
    entries = replica.get_entries(expires_ms)
    assert _DRAIN_KEY not in entries
    assert entries[_CONFIGURATION_KEY] == newer
    written = Stored(text='{"version": 6}', mod_revision=4)
    replica.replace(
        _make_snapshot({_CONFIGURATION_KEY: written}, 4, 1), expires_ms
    )
    assert replica.get_entries(expires_ms)[_CONFIGURATION_KEY] == written


@then('what the instance writes after the restore replaces {change}')
def check_odd_replaced(context, change):
    report = {'born': 1, 'state': 'ready', 'seq': 7}
    odd = make_odd_record(report, change).decode()
    replica = Replica()
    replica.replace(
        _make_snapshot({_INSTANCE_KEY: Stored(text=odd, mod_revision=8)}, 8, 0),
        0,
    )
    for revision, seq in ((3, 6), (4, 8)):
        text = msgspec.json.encode({**report, 'seq': seq}).decode()
        stored = Stored(text=text, mod_revision=revision)
        replica.replace(
            _make_snapshot({_INSTANCE_KEY: stored}, revision, 1), revision
        )
    assert replica.get_entries(revision)[_INSTANCE_KEY] == stored


def _make_snapshot(entries, revision: int, timeline: int) -> StoreSnapshot:
    return StoreSnapshot(
        entries=entries,
        revision=revision,
        size_bytes=1,
        timeline=timeline,
    )


@then('a later grant has the higher fencing number')
def check_fencing_numbers(context):
    before = StorePosition(timeline=1, revision=900)
    after = StorePosition(timeline=2, revision=20)
    assert after > before
    assert after.to_number() > before.to_number()


class _Comparison:
    """Compare the replica of a gateway with the store after each poll."""

    def __init__(self) -> None:
        self.session = StoreSession()
        self.is_same = True
        self._replica = Replica()
        self._poller = make_store_poller(
            self.session,
            self,
            replica=self._replica,
        )

    def apply_entries(self, _entries, _sent_ms) -> None:
        """Compare the replica itself instead of the applied entries."""
        replicated = {
            key: entry.text for key, entry in self._replica.view.entries.items()
        }
        stored = {
            key: base64.b64decode(entry['value']).decode()
            for key, entry in self.session.found.items()
        }
        self.is_same &= replicated == stored

    def handle_store_unavailable(self, _detail) -> None:
        """Ignore the failure; later polls are compared."""

    async def play(self, moves) -> None:
        with override_clocks(asyncio.get_running_loop().get_ms):
            await self._poller.poll()
            for move, key in moves:
                if move == 'poll':
                    await self._poller.poll()
                else:
                    getattr(self.session, move)(*filter(None, (key,)))


@when('a store is written, backed up, restored and unresponsive in any order')
def explore_restores(context):
    outcomes = []

    @_EXAMPLES
    @given_any(_MOVES)
    def play(moves):
        comparison = _Comparison()
        run_virtually(comparison.play(moves))
        outcomes.append(comparison.is_same)

    play()
    context.outcomes = outcomes


@then('the replica matches the store after each poll that is answered')
def check_same(context):
    assert all(context.outcomes), context.outcomes.count(False)


def _explore_updates(fault: str) -> list[bool]:
    outcomes = []

    @_EXAMPLES
    @given_any(_NEWS_MOVES)
    def play(moves):
        model = NewsModel(
            make_replica=VARIANTS[fault],
            clock_stands_still=False,
        )
        model.play(moves)
        outcomes.append(model.is_right)

    play()
    return outcomes


@when(
    'the store is restored while gateways read, request and receive updates in '
    'any order'
)
def explore_updates(context):
    context.outcomes = _explore_updates('')


@when('the store is restored under gateways that {fault}')
def explore_faulty_updates(context, fault):
    context.outcomes = _explore_updates(fault)


@then('each replica is a state of the store, and no version is undone')
def check_all_correct(context):
    assert all(context.outcomes), context.outcomes.count(False)


@then('a replica is no state of the store, or a version is undone')
def check_fault_detected(context):
    assert not all(context.outcomes)
