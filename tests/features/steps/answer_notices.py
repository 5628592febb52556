"""Steps for the state that instances report in response headers."""

from behave import given, then, when

from ragworthollow.utils import get_monotonic_ms
from tests.fixtures.stage_requests import GATEWAY_NAMES, send_stage_requests
from tests.standins.upstream import UpstreamStandin

_MAX_ATTEMPTS = 40
_SHORT_TIMEOUT_MS = 1_500
_NON_WORK_PATHS = frozenset(('/api/stage-free', '/api/report'))
# Read attempts of all gateways together, failed reads included.  They take
# longer than an update needs to reach a gateway from another gateway.
_STORE_READS = 2 * len(GATEWAY_NAMES)
_RESTARTED_UNIX_MS = 1_900_000_000_000


def _count_work_requests(upstream: UpstreamStandin) -> int:
    """Count requests for work; releases may reach a leaving instance."""
    return sum(
        request.path not in _NON_WORK_PATHS for request in upstream.arrivals
    )


def _get_upstream(context, name: str) -> UpstreamStandin:
    return context.gateway_stage.upstreams[name]


@given('the store is unavailable')
def make_store_unavailable(context):
    context.gateway_stage.store.faults.active = {'down': 1}


@when('the store is available again and was read')
def restore_store(context):
    stage = context.gateway_stage
    stage.store.faults.active = {}
    stage.run(stage.wait_for_reads(_STORE_READS))


@given('{name:w} shuts down, which only its responses report')
def set_leaving(context, name):
    _get_upstream(context, name).response_headers = {'Server-Leaving': '1'}


@given('u1 and u2 shut down, which only their responses report')
def set_both_leaving(context):
    set_leaving(context, 'u1')
    set_leaving(context, 'u2')


@given('{name:w} refuses and asks to back off for {seconds:g} seconds')
def refuse_with_retry_after(context, name, seconds):
    upstream = _get_upstream(context, name)
    upstream.response_headers = {'Retry-After': f'{seconds:g}'}
    upstream.is_refusing = True


@given('another instance for stage work')
def add_instance(context):
    stage = context.gateway_stage
    stage.run(stage.add_upstream('s2', 'stage'))
    directories = [stage.get_context(name).directory for name in GATEWAY_NAMES]
    stage.run(
        stage.wait_for(
            lambda: all(
                len(directory.get_pool('stage')) == 2
                for directory in directories
            ),
        ),
    )


@when('callers post to {path:S} until {name:w} has answered')
def send_until_answered(context, path, name):
    _send_until(context, path, name, 0)


@when('callers post to {path:S} until {name:w} has answered again')
def send_until_answered_again(context, path, name):
    _send_until(
        context, path, name, _count_work_requests(_get_upstream(context, name))
    )


def _send_until(context, path, name, earlier_count) -> None:
    upstream = _get_upstream(context, name)
    for _ in range(_MAX_ATTEMPTS):
        if _count_work_requests(upstream) > earlier_count:
            break
        _send(context, path, 1)
    _record_work_count(context, name)


def _record_work_count(context, name) -> None:
    work_count = _count_work_requests(_get_upstream(context, name))
    assert work_count
    context.work_counts = {
        **getattr(context, 'work_counts', {}),
        name: work_count,
    }


@when('callers post stage work until {name:w} has answered')
def send_pieces_until_answered(context, name):
    upstream = _get_upstream(context, name)
    stage = context.gateway_stage
    for _ in range(_MAX_ATTEMPTS):
        if upstream.calls:
            break
        stage.run(send_stage_requests(stage, 1, '/staged/answer'))
    _record_work_count(context, name)


@when('{count:d} more callers post stage work through all gateways')
def send_pieces(context, count):
    stage = context.gateway_stage
    stage.run(send_stage_requests(stage, count, '/staged/answer'))


@when('{count:d} impatient callers post stage work through all gateways')
def send_with_short_timeout(context, count):
    stage = context.gateway_stage
    headers = {
        'X-Ragworthollow-Pieces': '1,2',
        'X-Ragworthollow-Piece-Key': 'key',
    }
    context.responses = [
        stage.run(
            stage.send(
                '/staged/answer',
                gateway=GATEWAY_NAMES[number % len(GATEWAY_NAMES)],
                headers=headers,
                limit_ms=_SHORT_TIMEOUT_MS,
            ),
        )
        for number in range(count)
    ]


@then('no gateway takes another for unresponsive')
def check_none_unresponsive(context):
    for role in context.gateway_stage.gateways.values():
        assert not any(map(role.members.is_unresponsive, GATEWAY_NAMES))


@when('{count:d} more callers post to {path:S}')
def send(context, count, path):
    _send(context, path, count)


@when('{count:d} more callers post to {path:S} at each gateway')
def send_everywhere(context, count, path):
    for gateway in GATEWAY_NAMES:
        _send(context, path, count, gateway)


def _send(context, path, count, gateway='g1') -> None:
    stage = context.gateway_stage
    context.responses = [
        stage.run(stage.send(path, gateway=gateway)) for _ in range(count)
    ]


@when('the gateways have notified each other')
def wait_for_updates(context):
    stage = context.gateway_stage
    stage.run(stage.wait_for_reads(_STORE_READS))


@when('it is no longer suspected')
def wait_until_not_suspect(context):
    stage = context.gateway_stage
    record = stage.get_context().load_tracker.get('u1')
    stage.run(
        stage.wait_for(lambda: record.suspect_until_ms <= get_monotonic_ms()),
    )


@when('{name:w} has restarted and is listed')
def restart_instance(context, name):
    stage = context.gateway_stage
    stage.store.faults.active = {}
    _get_upstream(context, name).response_headers = {}
    stage.run(stage.publish_instance(name, 'plain', born=_RESTARTED_UNIX_MS))
    directory = stage.get_context().directory

    def is_listed():
        listed = directory.get(name)
        return listed is not None and listed.started_unix_ms

    stage.run(stage.wait_for(is_listed))


@when('{name:w} accepts requests again and its back-off time is over')
def resume_requests(context, name):
    stage = context.gateway_stage
    upstream = _get_upstream(context, name)
    upstream.response_headers = {}
    upstream.is_refusing = False
    directory = stage.get_context().directory
    stage.run(
        stage.wait_for(
            lambda: any(
                instance.instance == name
                for instance in directory.get_pool('plain')
            ),
        ),
    )


@then('{name:w} has got no work since its response')
def check_no_new_work(context, name):
    upstream = _get_upstream(context, name)
    assert _count_work_requests(upstream) == context.work_counts[name], [
        (request.path, request.body) for request in upstream.arrivals
    ]


@then('{name:w} has got work since its response')
def check_new_work(context, name):
    assert (
        _count_work_requests(_get_upstream(context, name))
        > context.work_counts[name]
    )


@then('all were served')
def check_served(context):
    assert all(response.status == 200 for response in context.responses)


@then('the last one was served')
def check_last_served(context):
    assert context.responses[-1].status == 200


@then('all were refused as not run')
def check_refused(context):
    for response in context.responses:
        assert response.status == 503, response
        assert 'Retry-After' in response.headers, response


@then('all were refused as not run, for {least:d} to {most:d} seconds')
def check_refused_for(context, least, most):
    check_refused(context)
    for response in context.responses:
        assert least <= float(response.headers['Retry-After']) <= most, response
