"""Steps of the validation of requests at the entries."""

import time
import uuid

from behave import then, when

from measure.caller import summarise
from measure.fleet import get_caller_key
from ragworthollow.utils import make_identifier

_PIPELINE = 'certificate-drafting'
_INPUTS = {'encode': {'subject': 'door'}, 'record': {'subject': 'door'}}
_BODY = {'deadline_ms': 2000, 'inputs': _INPUTS}
_FUTURE_MS = 60_000


def _make_future_key() -> str:
    created_ms = int(time.time() * 1000) + _FUTURE_MS
    return str(uuid.UUID(int=(created_ms << 80) | (7 << 76) | (2 << 62) | 1))


def _get_request_parts(what: str) -> dict:
    """Return the parts in which a request differs from a valid request."""
    return {
        'text that is not JSON': {'data': b'{"deadline'},
        'a body with an unknown field': {'json': {**_BODY, 'dedline': 1}},
        'a body without a deadline': {'json': {'inputs': _INPUTS}},
        'a body that is too large': {'data': b' ' * 1_100_000},
        'a key that nobody has': {'key': 'nobody'},
        'no key': {'key': ''},
        'a pipeline that does not exist': {'pipeline': 'no-such'},
        "another organisation's pipeline": {'pipeline': 'lot-summaries'},
        'a deadline that has passed': {'json': {**_BODY, 'deadline_ms': -5}},
        'a deadline beyond the limit': {'json': {**_BODY, 'deadline_ms': 9e6}},
        'a deadline that is not a number': {
            'json': {**_BODY, 'deadline_ms': 'soon'},
        },
        'an idempotency key of no version': {'once': 'abc'},
        'an idempotency key of the future': {'once': _make_future_key()},
    }[what]


@when('a caller sends {what}')
def send_request(context, what):
    if what == 'a whole request':
        stage = context.stage
        outcome = stage.run(stage.callers.send(stage.callers.make(_PIPELINE)))
        assert outcome == 'done', outcome
        return
    context.response = context.stage.run(
        _post_request(context, _get_request_parts(what))
    )


async def _post_request(context, parts: dict) -> dict:
    fleet = context.stage.fleet
    key = parts.get('key', get_caller_key('bluefields'))
    headers = {'Idempotency-Key': parts.get('once', make_identifier())}
    if key:
        headers['Authorization'] = f'Bearer {key}'
    body = {name: parts[name] for name in ('json', 'data') if name in parts}
    pipeline = parts.get('pipeline', _PIPELINE)
    async with fleet.session.post(
        f'http://{fleet.entries[0].address}/v1/pipelines/{pipeline}',
        headers=headers,
        **(body or {'json': _BODY}),
    ) as response:
        return {'status': response.status, **(await response.json())}


@then('the status is {status:d} with reason {reason} and outcome {outcome}')
def check_refusal(context, status, reason, outcome):
    answer = context.response
    assert answer['status'] == status, answer
    assert answer['outcome'] == outcome, answer
    refusal = answer['refusal']
    assert refusal['reason'] == reason, answer
    assert refusal['step'] and refusal['peer'], answer


@then('nothing was recorded for it')
def check_no_effect(context):
    effects = context.stage.run(context.stage.fleet.get_effects())
    assert 'door' not in {effect['subject'] for effect in effects}


@then('its key appears in no log of any process')
def check_key_not_logged(context):
    stage = context.stage
    key = get_caller_key(stage.callers.sent[-1].organisation)
    for name in stage.fleet.processes.get_names():
        assert key not in stage.fleet.processes.read_log(name), name


@when('an unauthenticated client calls {method} {path}')
def call_with_wrong_keys(context, method, path):
    fleet = context.stage.fleet

    async def call(address: str) -> int:
        async with fleet.session.request(
            method,
            f'http://{address}{path}',
            data=b'{}' if method == 'POST' else None,
            headers={
                'X-Ragworthollow-Cluster-Key': 'a guess',
                'X-Ragworthollow-Operator-Key': 'a guess',
            },
        ) as response:
            return response.status

    addresses = [fleet.entries[0].address]
    if '/operator/' not in path:
        addresses.append(fleet.plan.get('ledger-api-0').address)
    context.statuses = [
        context.stage.run(call(address)) for address in addresses
    ]


@then('the unauthenticated client is refused')
def check_unauthorized(context):
    assert set(context.statuses) == {401}, context.statuses


@then(
    'no request of any caller was lost, doubled, crossed or falsely reported '
    'as not run'
)
def check_no_violations(context):
    stage = context.stage
    summary = stage.run(summarise(stage.fleet, stage.callers))
    for name in ('lost', 'doubled', 'crossed', 'false_not_run'):
        assert not summary[name], summary
    assert not stage.run(stage.fleet.count_violations())
