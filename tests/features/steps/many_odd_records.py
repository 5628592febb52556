"""Steps for many odd records that a gateway process reads."""

import asyncio
import itertools
from collections import Counter

from behave import then, when

from ragworthollow.conf import global_settings
from tests.fixtures.odd_records import make_odd_record

_CHANGES = ('1,000 levels as a whole', '1e400 as seq', '5,000 digits as addr')
_PREFIXES = (
    'servers',
    'gateways',
    'quarantine',
    'pool-versions',
    'streams',
    'event-numberings',
)
_LIMITED_EVENTS = (
    'instance_entry_unreadable',
    'member_unreadable',
    'quarantine_record_unreadable',
    'event_numberings_unreadable',
)
_FAULTS = {
    'is slow': {'slow_ms': 300},
    'is down': {'down': 1},
    'answers': {},
}
_REQUESTS = 20


@when('another writer adds {count:d} odd records under each prefix')
def add_odd(context, count):
    harness = context.gateway_process
    changes = itertools.cycle(_CHANGES)
    for prefix in _PREFIXES:
        for number in range(count):
            odd = make_odd_record({'odd': number}, next(changes))
            harness.store.put_bytes(f'{prefix}/odd{number}', odd)
    harness.run(_wait_until_read(harness))


async def _wait_until_read(harness):
    await harness.wait_for(
        lambda: harness.find_events('instance_entry_unreadable')
    )


@when('the store {event} for {seconds:d} s')
def apply_event(context, event, seconds):
    harness = context.gateway_process
    if event not in _FAULTS:
        harness.run(_restore(harness))
    harness.store.faults.active = dict(_FAULTS.get(event, {}))
    harness.run(asyncio.sleep(seconds))
    harness.store.faults.active = {}


async def _restore(harness):
    backup = harness.store.save()
    for number in range(_REQUESTS):
        harness.store.put_bytes(f'servers/late{number}', b'1e400')
    await asyncio.sleep(1)
    harness.store.restore(backup)


@then('the process follows an instance that appears and one that leaves')
def check_followed(context):
    harness = context.gateway_process
    harness.run(_check_followed(harness))


async def _check_followed(harness):
    await harness.add_upstream('new', 'plain')
    await harness.publish_instance('u1', 'plain', state='draining')
    await harness.wait_for(
        lambda: any(
            '"new"' in line for line in harness.find_events('instances_changed')
        )
    )
    await asyncio.sleep(global_settings.SUBSCRIBER_NOTIFY_INTERVAL_MS / 1000)
    previous = len(harness.upstreams['u1'].runs)
    for _ in range(_REQUESTS):
        await harness.connect()
    assert harness.upstreams['new'].runs
    assert len(harness.upstreams['u1'].runs) == previous


@then('it logs at most {limit:d} lines of each kind about them')
def check_log(context, limit):
    harness = context.gateway_process
    counts = Counter(
        {event: len(harness.find_events(event)) for event in _LIMITED_EVENTS}
    )
    assert max(counts.values()) <= limit, counts
    assert min(counts.values()), counts
    assert not harness.find_events('loop_failed')
