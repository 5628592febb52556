"""Steps for records of other writers in the store."""

import asyncio
import re

import msgspec
from behave import then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as for_all
from hypothesis import strategies as st

from ragworthollow.conf import global_settings

_MEMBER = {
    'instance': 'odd',
    'incarnation': 'odd-1',
    'peer_address': '127.0.0.1:9',
    'failure_domain': 'one',
    'capacity': 1,
}
_CRASH_REPORT = {
    'fingerprint': 'f',
    'crash_ages_ms': {'i1@1': 5, 'i2@1': 6},
    'run_ms': {'i1@1': 5},
    'companions': ['a'],
    'attempts': 3,
}
_INSTANCE = {
    'backend': 'plain',
    'addr': '127.0.0.1:9',
    'zone': 'one',
    'version': 'v1',
    'slots': 4,
    'state': 'ready',
    'cold_left_ms': 0,
    'seq': 1,
}
_RECORDS = {
    'gateways/odd': _MEMBER,
    'quarantine/odd': _CRASH_REPORT,
    'servers/odd': _INSTANCE,
}
_SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**70), 2**70),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=300),
    st.sampled_from(('..:80', f'{"a" * 70}:80', '10.0.0.1:99999', '[::1')),
)
_VALUES = st.recursive(
    _SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=6,
)


@when('another writer adds {count:d} members with the address {address}')
def add_members(context, count, address):
    stage = context.gateway_stage
    spelled = {'a label too long:80': f'{"a" * 70}:80', 'nothing': ''}.get(
        address, re.sub(r'(\d+) digits', lambda m: '9' * int(m[1]), address)
    )
    context.odd_keys = [f'gateways/odd{number}' for number in range(count)]
    records = {
        key: _encode({**_MEMBER, 'instance': key, 'peer_address': spelled})
        for key in context.odd_keys
    }
    stage.run(stage.write(records))
    stage.run(stage.wait_for_reads(len(stage.gateways)))


@then('no gateway asks to be shut down within {count:d} pings')
def check_running(context, count):
    stage = context.gateway_stage
    pause_s = count * global_settings.HOST_PING_MS / 1000
    stage.run(asyncio.sleep(pause_s))
    assert not stage.shutdown_requests, stage.shutdown_requests


@then('they are logged as unreadable')
def check_logged(context):
    rejected = {
        fields['peer']
        for event, fields in context.log_lines
        if event == 'member_unreadable'
    }
    assert rejected == set(context.odd_keys), rejected


@when('another writer adds a quarantine whose crashes are in the future')
def add_quarantine(context):
    stage = context.gateway_stage
    ages_ms = dict.fromkeys(_CRASH_REPORT['crash_ages_ms'], -(2**62))
    record = {**_CRASH_REPORT, 'crash_ages_ms': ages_ms}
    stage.run(stage.write({'quarantine/odd': _encode(record)}))
    stage.run(_poll_all(stage))


@then('no gateway quarantines it, and it is logged as unreadable')
def check_not_quarantined(context):
    stage = context.gateway_stage
    quarantined = [
        stage.get_context(name).quarantine.list_quarantined()
        for name in stage.gateways
    ]
    assert not any(quarantined), quarantined
    keys = [
        fields['peer']
        for event, fields in context.log_lines
        if event == 'quarantine_record_unreadable'
    ]
    assert keys == ['quarantine/odd' for _ in stage.gateways], keys


@then('no value that another writer stores ends a gateway')
def check_any_value(context):
    stage = context.gateway_stage

    @settings(
        max_examples=150,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @for_all(
        key=st.sampled_from(sorted(_RECORDS)),
        changes=st.data(),
        is_object=st.booleans(),
    )
    def check(key, changes, is_object):
        record = _RECORDS[key]
        changed = changes.draw(
            st.dictionaries(st.sampled_from(sorted(record)), _VALUES)
        )
        text = _encode({**record, **changed})
        if not is_object:
            text = changes.draw(st.text(max_size=20)) + text[: len(text) // 2]
        stage.run(stage.write({key: text}))
        # Every read hands the value to all subscribers.
        stage.run(_poll_all(stage))
        assert not stage.shutdown_requests, (key, text)

    check()
    stage.run(stage.write(dict.fromkeys(_RECORDS)))


async def _poll_all(stage):
    await asyncio.gather(
        *(role.store_poller.poll() for role in stage.gateways.values())
    )


def _encode(record):
    return msgspec.json.encode(record).decode()
