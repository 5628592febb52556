"""Define steps for days of load that are read from logs."""

import tempfile
from pathlib import Path

import msgspec
from behave import given, then

from measure.fleet_model.experiment import read_load
from measure.fleet_model.recorded_day import bound_recorded

_POOL = 'wire-name'


def _format_log(rows: list[dict]) -> str:
    return ''.join(
        f'{msgspec.json.encode({"time_ms": 1000, **row}).decode()}\n'
        for row in rows
    )


@given(
    'a log of {count:d} requests of {pieces:d} pieces that come at once '
    'to {instances:d} instances',
)
def write_log(context, count, pieces, instances):
    names = [f'i{number}' for number in range(instances)]
    requests = [f'r{number}' for number in range(count)]
    rows = [{'event': 'instances_changed', 'appeared': names, 'left': []}]
    rows += [
        {
            'event': 'request_ended',
            'request_id': request_id,
            'elapsed_ms': 0,
            'waited_ms': 0,
            'pieces': [pieces],
        }
        for request_id in requests
    ]
    rows += [
        {
            'event': 'pieces_done',
            'pool': _POOL,
            'peer': name,
            'pieces': pieces,
            'requests': requests,
        }
        for name in names
    ]
    context.log_text = _format_log(rows)


@then('its bound is between {low:g} and {high:g}')
def check_bound(context, low, high):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'log'
        path.write_text(context.log_text)
        bound = bound_recorded(read_load('kingston'), path)
    assert low <= bound <= high, bound
