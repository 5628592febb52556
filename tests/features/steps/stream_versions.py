"""Steps for streams while instances of two software versions serve."""

import random
from collections import Counter

from behave import given, then, when

from ragworthollow.upstreams import (
    StreamOrigin,
    StreamVersions,
    UpstreamInstance,
)
from ragworthollow.upstreams.version_history import VersionHistory
from tests.fixtures.recorded_streams import is_stream_recorded
from tests.standins.partial_streams import PartialStream, Stop

_PATH = '/resumable/partial'
_SEED = 1


def _publish(context, name: str, version: str, born: int = 0) -> None:
    stage = context.gateway_stage
    stage.run(stage.publish_instance(name, 'plain', version=version, born=born))
    stage.run(stage.wait_for(lambda: _has_version(stage, name, version)))


def _has_version(stage, name: str, version: str) -> bool:
    instance = stage.get_context().directory.get(name)
    return instance is not None and instance.software_version == version


@given('instance {name:w} has software version {version:w}')
def set_version(context, name, version):
    context.versions = {'u1': 'v1', 'u2': 'v1', name: version}
    _publish(context, name, version)


@given('instances u1 and u3 have software version v1, and u2 and u4 v2')
def set_versions(context):
    stage = context.gateway_stage
    for name in ('u3', 'u4'):
        stage.run(stage.add_upstream(name, 'plain'))
    for name, version in (('u3', 'v1'), ('u2', 'v2'), ('u4', 'v2')):
        _publish(context, name, version)


@given('another gateway that knows all instances')
def add_gateway(context):
    stage = context.gateway_stage
    stage.run(stage.add_gateway('g2'))
    stage.run(stage.wait_for_configuration('g2'))
    directory = stage.get_context('g2').directory
    stage.run(stage.wait_for(lambda: len(directory.get_pool('plain')) == 2))


@given('{count:d} more gateways that know all instances')
def add_gateways(context, count):
    stage = context.gateway_stage
    for number in range(2, count + 2):
        name = f'g{number}'
        stage.run(stage.add_gateway(name))
        stage.run(stage.wait_for_configuration(name))
        directory = stage.get_context(name).directory
        stage.run(stage.wait_for(_makes_pool_known(directory)))
    for name in stage.gateways:
        stage.run(stage.wait_for(_makes_members_known(stage, name)))


def _makes_pool_known(directory):
    return lambda: len(directory.get_pool('plain')) == 4


def _makes_members_known(stage, name):
    members = stage.gateways[name].members
    return lambda: members.count() == len(stage.gateways)


@given('gateway g1 records no streams in the store')
def suppress_records(context):
    stream_versions = context.gateway_stage.get_context(
        'g1'
    ).directory.stream_versions
    stream_versions.take_unrecorded = lambda *_: {}


@when('the store has what began its stream')
def wait_for_record(context):
    stage = context.gateway_stage
    request_id = context.response.request_id
    stage.run(stage.wait_for(lambda: is_stream_recorded(stage, request_id)))


@when('the gateway that relayed it is gone')
def end_gateway(context):
    stage = context.gateway_stage
    stage.run(stage.gateways.pop('g1').close())


@when('the version of its stream becomes uncertain')
def make_uncertain(context):
    stage = context.gateway_stage
    for name in stage.upstreams:
        stage.get_context().directory.stream_versions.forget_version(name, 0)


@when('{count:d} streams break off, and each is resumed at any gateway')
def resume_many(context, count):
    stage = context.gateway_stage
    rng = random.Random(_SEED)
    names = sorted(stage.gateways)
    context.resumed = []
    for _ in range(count):
        streams = [PartialStream(framing='chunked', stop=Stop.between)]
        for upstream in stage.upstreams.values():
            upstream.partial_streams = [*streams, *streams]
        began = stage.run(stage.send(_PATH, gateway=rng.choice(names)))
        headers = {'Last-Event-Id': '1', 'Resumes': began.request_id}
        resumed = stage.run(
            stage.send(_PATH, gateway=rng.choice(names), headers=headers)
        )
        context.resumed.append((began, resumed))


@then('all of them go on at their software version')
def check_all_go_on(context):
    versions = {
        fields['request_id']: fields['software_version']
        for event, fields in context.log_lines
        if event == 'stream_part' and fields['first_event_id']
    }
    statuses = Counter(resumed.status for _, resumed in context.resumed)
    assert statuses == {200: len(context.resumed)}, statuses
    for began, resumed in context.resumed:
        assert versions[began.request_id] == versions[resumed.request_id]


@then('all parts of the stream are of one software version')
def check_parts(context):
    versions = {
        fields['software_version']
        for event, fields in context.log_lines
        if event == 'stream_part' and fields['first_event_id']
    }
    assert len(versions) == 1, versions


@when("a caller's stream is broken off and its instance restarts at v2")
def restart_instance(context):
    stage = context.gateway_stage
    context.response = stage.run(_restart_instance(stage))


async def _restart_instance(stage):
    """Hold the second attempt back until the list shows the restart."""
    context = stage.get_context()
    wait = context.quarantine.wait_for_crash_check

    async def restart_first(instance):
        name = instance.instance
        await stage.publish_instance(name, 'plain', version='v2', born=7)
        await stage.wait_for(lambda: _has_version(stage, name, 'v2'))
        await wait(instance)

    context.quarantine.wait_for_crash_check = restart_first
    return await stage.send(_PATH)


def _resume(context, event_id, resumes, gateway='g1'):
    stage = context.gateway_stage
    headers = {'Last-Event-Id': event_id, 'Resumes': resumes}
    context.first_response = getattr(context, 'response', None)
    context.response = stage.run(
        stage.send(
            _PATH,
            gateway=gateway,
            headers={name: text for name, text in headers.items() if text},
        )
    )


@when(
    'it resumes /resumable/partial after event {event_id:w}, naming its first '
    'attempt'
)
def resume_own(context, event_id):
    _resume(context, event_id, context.response.request_id)


@when(
    'it resumes /resumable/partial after event {event_id:w} at the other '
    'gateway'
)
def resume_elsewhere(context, event_id):
    _resume(context, event_id, context.response.request_id, 'g2')


@when(
    'a caller resumes /resumable/partial after event {event_id:w}, naming '
    '{resumes:S}'
)
def resume_unknown(context, event_id, resumes):
    _resume(context, event_id, '' if resumes == 'nothing' else resumes)


@when('a caller posts to /resumable/partial, naming {resumes:S}')
def resume_without_event(context, resumes):
    _resume(context, '', resumes)


@when('all instances are replaced by instances of software version v2')
def replace_instances(context):
    stage = context.gateway_stage
    for name in ('u3', 'u4'):
        stage.run(stage.add_upstream(name, 'plain'))
        _publish(context, name, 'v2')
    for name in ('u1', 'u2'):
        stage.run(stage.remove_instance(name))
    directory = stage.get_context().directory
    stage.run(stage.wait_for(lambda: len(directory.get_pool('plain')) == 2))


@then('both attempts ran at one software version')
def check_same_version(context):
    request_ids = (
        context.first_response.request_id,
        context.response.request_id,
    )
    versions = {
        context.versions[name]
        for name, upstream in context.gateway_stage.upstreams.items()
        for run in upstream.runs
        if run.request_id in request_ids
    }
    assert len(versions) == 1, versions


@then('the caller is told to wait at least {wait_ms:d} ms')
def check_wait(context, wait_ms):
    wait_s = float(context.response.headers['Retry-After'])
    assert wait_s * 1000 >= wait_ms, wait_s


@then('the log tells that the resumption was refused because of {source:w}')
def check_log(context, source):
    stage = context.gateway_stage
    (fields,) = [
        fields
        for event, fields in context.log_lines
        if event == 'resume_decided'
    ]
    assert fields['outcome'] == 'refused', fields
    assert fields['source'] == source, fields
    assert fields['listed_ms_ago'].keys() == {'v1', 'v2'}, fields
    assert fields['observed_ms'] >= max(fields['listed_ms_ago'].values())
    rendered = stage.get_context().metrics.render()
    assert f'resume_refused_{source}'.encode() in rendered, rendered


def _make_origin(instance='i1', began_ms=0, expires_ms=100) -> StreamOrigin:
    return StreamOrigin(
        software_version='v1',
        instance=instance,
        began_ms=began_ms,
        expires_ms=expires_ms,
    )


@then('a full record takes no further stream until one expires')
def check_full(context):
    versions = StreamVersions(limit=2)
    assert versions.record('one', _make_origin(), 0)
    assert versions.record('two', _make_origin(expires_ms=200), 0)
    assert not versions.record('three', _make_origin(), 50)
    assert versions.find('three', 50) is None
    assert versions.find('one', 50).software_version == 'v1'
    assert versions.record('one', _make_origin(), 50)
    assert versions.record('three', _make_origin(expires_ms=300), 150)
    assert versions.find('two', 150) is not None


@then('an expired record is not used')
def check_expired(context):
    versions = StreamVersions(limit=2)
    versions.record('one', _make_origin(), 0)
    assert versions.find('one', 99) is not None
    assert versions.find('one', 100) is None


@then('the record of a restarted instance is uncertain from its last list on')
def check_uncertain(context):
    versions = StreamVersions(limit=4)
    versions.record('before', _make_origin(began_ms=10), 10)
    versions.record('after', _make_origin(began_ms=20), 20)
    versions.record('other', _make_origin('i2', began_ms=20), 20)
    versions.forget_version('i1', 15)
    found = [
        versions.find(name, 30).software_version
        for name in ('before', 'after', 'other')
    ]
    assert found == ['v1', None, 'v1'], found


@then('an uncertain record stays uncertain')
def check_stays_uncertain(context):
    versions = StreamVersions(limit=4)
    versions.record('one', _make_origin(began_ms=20), 20)
    versions.forget_version('i1', 15)
    assert versions.record('one', _make_origin(began_ms=30), 30)
    assert versions.find('one', 40).software_version is None


@then('a version is settled once it has been listed for some time')
def check_settled(context):
    history = VersionHistory()
    old, new = [
        UpstreamInstance(
            instance=version,
            pool='plain',
            address='127.0.0.1:1',
            failure_domain='one',
            slots=1,
            software_version=version,
        )
        for version in ('v1', 'v2')
    ]
    history.record([old], 10)
    history.record([old, new], 20)
    history.record([new], 30)
    assert not history.list_settled('plain', 10)
    assert history.list_settled('plain', 20) == {'v1'}
    assert history.list_settled('plain', 21) == {'v1', 'v2'}
    assert history.get_last_listed_ms('plain', 0) == {'v1': 20, 'v2': 30}
    assert history.get_last_listed_ms('plain', 21) == {'v2': 30}
    assert not history.get_last_listed_ms('other', 0)
