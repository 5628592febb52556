"""Steps for odd records that entries and sidecars read."""

import asyncio
import base64
import itertools
from collections import Counter

import msgspec
from behave import given, then, when

from measure.fleet import CLUSTER_KEY
from measure.large import Size, make_files
from ragworthollow.conf import global_settings
from ragworthollow.configuration.change_record import ChangeRecord
from ragworthollow.configuration.change_rules import advance_manifest
from ragworthollow.configuration.file_entry import FileEntry
from ragworthollow.configuration.keys import MANIFEST_KEY
from ragworthollow.configuration.manifest import Manifest
from ragworthollow.engines.load_budget import try_consume_load
from ragworthollow.platform.instance_list_decoding import decode_instance_list
from ragworthollow.transport.session import make_session
from ragworthollow.utils import get_monotonic_ms, get_wall_ms
from tests.fixtures.odd_records import make_odd_record

_POOL = 'ledger-api'
_SIZE = Size(organisations=10, pipelines=1, models=1, instances=0, entries=0)
_ODD_ADDRESS = '127.0.0.1:9'
_ODD_ENTRY = {
    'instance': 'odd',
    'pool': _POOL,
    'failure_domain': 'domain-0',
    'address': _ODD_ADDRESS,
}
_ODD_MEMBER = {'incarnation': 'odd-1', 'address': _ODD_ADDRESS}
_BUDGET_KEY = 'weights/budget'
_RANGE_PATH = '/api/kv-range'


@given('an entry and a sidecar that own the keys of a pool')
def start_both(context):
    harness = context.daemon_service
    harness.run(_start_both(harness))


async def _start_both(harness):
    await harness.start_entry()
    harness.running.append(harness.service)
    await harness.publish(make_files(_SIZE))
    harness.running.append(await harness.start_sidecar(_POOL))
    harness.instances.publish(_list_sound(harness, 'leaving'))
    await _wait_for_listed(harness, 'leaving')
    ownership = harness.running[1]._role._ownership
    await harness.wait_until(ownership.owns_any)


def _list_sound(harness, *more):
    """List the daemons, and instances at the address of the sidecar."""
    entries = [
        {
            'instance': service.settings.instance,
            'pool': _POOL if service.settings.sidecar else 'entry',
            'failure_domain': service.settings.failure_domain,
            'address': service.settings.listen.get_address(),
        }
        for service in harness.running
    ]
    return [*entries, *({**entries[-1], 'instance': name} for name in more)]


def _get_listed(service):
    listed = service._context.peers.listed.instances
    return {entry.instance for entry in listed}


async def _wait_for_listed(harness, name):
    await harness.wait_until(
        lambda: all(name in _get_listed(one) for one in harness.running)
    )


@when(
    'another writer lists {count:d} odd entries, and instances come and leave'
)
def list_many(context, count):
    odd = msgspec.Raw(b'{"instance":1e400}')
    _list_odd(context, list(itertools.repeat(odd, count)))


@when('another writer lists {change}, and instances come and leave')
def list_odd(context, change):
    odd = make_odd_record(_ODD_ENTRY, change)
    _list_odd(context, [msgspec.Raw(odd)])


def _list_odd(context, odd):
    harness = context.daemon_service
    context.odd_entries = odd
    sound = _list_sound(harness, 'new')
    # The odd ones come first and last, and nobody lists the one that leaves.
    harness.instances.publish([*odd, *sound, *odd])


@then('both list the new instance, and not the odd one')
def check_followed(context):
    harness = context.daemon_service
    harness.run(_wait_for_listed(harness, 'new'))
    expected = {'entry-own', f'{_POOL}-own', 'new'}
    for service in harness.running:
        assert _get_listed(service) == expected, _get_listed(service)


@then('both apply the next configuration, and no loop has failed')
def check_configuration(context):
    harness = context.daemon_service
    harness.run(_change_configuration(harness))
    _check_loops(context)


async def _change_configuration(harness):
    await harness.publish({'30-more.yaml': 'owner: consortium\n'})
    newest = harness.service._context.store.generation
    await harness.wait_until(
        lambda: all(
            one._context.store.generation == newest for one in harness.running
        )
    )


def _check_loops(context):
    failures = [
        fields for event, fields in context.log_lines if event == 'loop_failed'
    ]
    assert not failures, failures


@then('a sidecar that starts now lists the new instance as well')
def check_start(context):
    harness = context.daemon_service
    late = harness.run(harness.start_sidecar('late'))
    harness.running.append(late)
    assert 'new' in _get_listed(late), _get_listed(late)
    _check_loops(context)


@then('they are logged in one line for each process and list')
def check_log(context):
    counts = [
        fields['count']
        for event, fields in context.log_lines
        if event == 'listed_instances_unreadable'
    ]
    readers = len(context.daemon_service.running)
    assert counts == list(
        itertools.repeat(2 * len(context.odd_entries), readers)
    ), counts


@then('other work got its turn while such a list was decoded')
def check_turns(context):
    nested = msgspec.Raw(make_odd_record({}, '100,000 levels as a whole'))
    for odd in (context.odd_entries, [nested]):
        turns = context.daemon_service.run(_count_turns(odd))
        assert turns >= 2, turns


async def _count_turns(odd):
    turns = 0

    async def count():
        nonlocal turns
        while True:
            turns += 1
            await asyncio.sleep(0)

    counting = asyncio.ensure_future(count())
    await decode_instance_list(msgspec.json.encode({'instances': odd}))
    counting.cancel()
    return turns


@when(
    'another writer stores {change} of a member at {key:S} for {count:d} reads'
)
def store_odd(context, change, key, count):
    harness = context.daemon_service
    assignment_key = _find_key(harness, f'once/{_POOL}/assignment')
    odd_key = f'{assignment_key.removesuffix("assignment")}{key}'
    harness.run(_store_odd(harness, change, odd_key, count))


def _find_key(harness, suffix):
    (key,) = (name for name in harness.store.entries if name.endswith(suffix))
    return key


async def _store_odd(harness, change, key, count):
    odd = make_odd_record(_ODD_MEMBER, change)
    previous = harness.store.entries.get(key)
    harness.store.put_bytes(key, odd)
    await _wait_for_reads(harness, count)
    if previous:
        harness.store.put_bytes(key, base64.b64decode(previous.value))


async def _wait_for_reads(harness, count):
    target = harness.store.counts[_RANGE_PATH] + count
    await harness.wait_until(
        lambda: harness.store.counts[_RANGE_PATH] >= target
    )


@then('no loop has failed, and the sidecar is sure of its keys once it is gone')
def check_ownership(context):
    harness = context.daemon_service
    ownership = harness.running[1]._role._ownership
    # Later than any confirmation that it has now.
    later_ms = get_monotonic_ms() + global_settings.LEASE_TTL_MS
    harness.run(
        harness.wait_until(lambda: ownership.get_certain_until_ms() > later_ms)
    )
    assert ownership.owns_any()
    _check_loops(context)


@when('another writer stores {count:d} odd members for {reads:d} reads')
def store_many(context, count, reads):
    harness = context.daemon_service
    prefix = _find_key(harness, f'once/{_POOL}/assignment').removesuffix(
        'assignment'
    )
    odd = make_odd_record(_ODD_MEMBER, '1,000 levels as a whole')
    for number in range(count):
        harness.store.put_bytes(f'{prefix}members/odd{number}', odd)
    harness.run(_wait_for_reads(harness, reads))


@then('they are logged in at most {limit:d} lines')
def check_few_lines(context, limit):
    counts = Counter(event for event, _ in context.log_lines)
    lines = (
        counts['once_record_unreadable'] + counts['unreadable_records_omitted']
    )
    assert 0 < lines <= limit, lines


@when('another writer has {change} in the assignment while a sidecar starts')
def change_assignment(context, change):
    harness = context.daemon_service
    harness.run(_change_assignment(harness, change))


async def _change_assignment(harness, change):
    key = _find_key(harness, f'once/{_POOL}/assignment')
    sound = base64.b64decode(harness.store.entries[key].value)
    odd = make_odd_record(msgspec.json.decode(sound), change)
    harness.store.put_bytes(key, odd)
    harness.running.append(await harness.start_sidecar(_POOL, 'second'))
    await _wait_for_reads(harness, 4)
    # Its owner did not hand over any range.
    assert not harness.running[-1]._role._ownership.owns_any()
    harness.store.put_bytes(key, sound)


@then('the pool is shared by both sidecars once it is back')
def check_shared(context):
    harness = context.daemon_service
    harness.run(harness.wait_until(lambda: _is_shared(harness)))
    _check_loops(context)


def _is_shared(harness):
    all_ranges = list(range(global_settings.ONCE_RANGES))
    return (
        all(sidecar.owns_any() for sidecar in _list_sidecars(harness))
        and sorted(_list_owned(harness)) == all_ranges
    )


def _list_owned(harness):
    """List the ranges that each sidecar is certain to own."""
    now_ms = get_monotonic_ms()
    return [
        index
        for sidecar in _list_sidecars(harness)
        for index, owner in enumerate(sidecar.assignment.ranges)
        if sidecar.is_ours(owner) and sidecar.is_certain(now_ms)
    ]


def _list_sidecars(harness):
    return [one._role._ownership for one in harness.running[1:]]


@when('another writer replaces the manifest by {change} for {count:d} reads')
def replace_manifest(context, change, count):
    harness = context.daemon_service
    context.manifest_key = _find_key(harness, MANIFEST_KEY)
    context.manifest = harness.store.entries[context.manifest_key].value
    sound = msgspec.json.decode(base64.b64decode(context.manifest))
    odd = make_odd_record(sound, change)
    harness.store.put_bytes(context.manifest_key, odd)
    harness.run(_wait_for_reads(harness, count))
    _check_loops(context)


@when('another writer lists a file in the manifest that is missing')
def list_missing_file(context):
    harness = context.daemon_service
    context.manifest_key = _find_key(harness, MANIFEST_KEY)
    context.manifest = harness.store.entries[context.manifest_key].value
    manifest = msgspec.json.decode(
        base64.b64decode(context.manifest), type=Manifest
    )
    next_number = manifest.generation + 1
    added = FileEntry(
        name='30-odd.yaml', owner='odd', sha256='odd', generation=next_number
    )
    change = ChangeRecord(
        change_id='odd',
        generation=next_number,
        operator='odd',
        time_ms=0,
        files=(added.name,),
    )
    odd = advance_manifest(manifest, [*manifest.files, added], change)
    harness.store.put_bytes(context.manifest_key, msgspec.json.encode(odd))


@then('the generation is logged as refused')
def check_refused(context):
    context.daemon_service.run(
        context.daemon_service.wait_until(
            lambda: any(
                event == 'configuration_refused'
                and '30-odd.yaml' in fields['detail']
                for event, fields in context.log_lines
            )
        )
    )


@then('a sidecar starts, and a change is refused for the manifest')
def check_unreadable_manifest(context):
    harness = context.daemon_service
    harness.running.append(harness.run(harness.start_sidecar('late')))
    answer = harness.run(harness.post_change({'30-more.yaml': 'owner: own\n'}))
    assert 'manifest cannot be read' in answer['detail'], answer


@then('all apply the next configuration once the manifest is back')
def check_manifest_back(context):
    harness = context.daemon_service
    harness.store.put_bytes(
        context.manifest_key, base64.b64decode(context.manifest)
    )
    check_configuration(context)


@when('another writer stores {change} of the budget of model loads')
def store_budget(context, change):
    harness = context.daemon_service
    prefix = _find_key(harness, MANIFEST_KEY).removesuffix(MANIFEST_KEY)
    odd = make_odd_record({'started_ms': int(get_wall_ms())}, change)
    harness.store.put_bytes(f'{prefix}{_BUDGET_KEY}', odd)


@then('no load is granted for a minute, and 2 of 3 are after that')
def check_budget(context):
    harness = context.daemon_service
    now_ms = get_wall_ms()
    granted = [
        harness.run(
            try_consume_load(
                harness.service._context.key_value, 2, now_ms + after_ms
            )
        ).ok_value
        for after_ms in (0, 59_000, 61_000, 61_000, 61_000)
    ]
    assert granted == [False, False, True, True, False], granted


@when('a generation is announced to both with the address {address}')
def announce(context, address):
    harness = context.daemon_service
    context.statuses = harness.run(_announce(harness, address))


async def _announce(harness, address):
    statuses = []
    async with make_session(CLUSTER_KEY) as session:
        for service in harness.running:
            own_address = service.settings.listen.get_address()
            response = await session.post(
                f'http://{own_address}/v1/configuration/announcements',
                json={'generation': 1000, 'address': address},
            )
            statuses.append(response.status)
    return statuses


@then('both answer {status:d}')
def check_statuses(context, status):
    assert context.statuses == [status, status], context.statuses


@when('a sidecar starts whose key is {change} for {count:d} reads')
def start_with_odd_key(context, change, count):
    harness = context.daemon_service
    key = _find_key(harness, f'/members/{_POOL}-own')
    harness.run(harness.running.pop().stop())
    harness.store.put_bytes(key, make_odd_record(_ODD_MEMBER, change))
    harness.running.append(harness.run(harness.start_sidecar(_POOL)))
    harness.run(_wait_for_reads(harness, count))
    harness.store.entries.pop(key)


@then('no loop has failed, and the sidecar owns keys once it is gone')
def check_started_ownership(context):
    harness = context.daemon_service
    ownership = harness.running[1]._role._ownership
    harness.run(harness.wait_until(ownership.owns_any))
    _check_loops(context)
