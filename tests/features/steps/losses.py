"""Steps of `ragworthctl losses`, which reports lost requests from logs."""

import subprocess
import sys
from pathlib import Path

import msgspec
from behave import given, then, when

_COMMAND = Path(sys.executable).parent / 'ragworthctl'
_EXIT_NOTHING_FOUND = 1


def _render_line(**fields) -> str:
    record = {'time_ms': 1_700_000_000_000.0, 'pool': 'pool', **fields}
    return msgspec.json.encode(record).decode()


@given('log lines of these ends of requests')
def write_request_ends(context):
    context.log_lines = [
        _render_line(
            event=row['event'],
            request_id=row['request'],
            route='r',
            step=row['step'],
            reason=row['reason'] or None,
            peer=row['peer'] or None,
            status=int(row['status']),
        )
        for row in context.table
    ]


@given('log lines of calls of 4, 2 and 3 pieces, the first one full')
def write_calls(context):
    limits = {4: 'full', 2: 'queue', 3: 'queue'}
    context.log_lines = [
        _render_line(event='pieces_done', pieces=pieces, limit=limit, queued=1)
        for pieces, limit in limits.items()
    ]


@given('log lines of an answer 20 ms late and one 300 ms in time')
def write_answers(context):
    context.log_lines = []
    for name, late_ms in (('a', 20), ('b', -300)):
        context.log_lines += [
            _render_line(event='answered', request_id=name, late_ms=late_ms),
            _render_line(event='request_ended', request_id=name, status=200),
        ]


@then('{late:d} was late')
def check_late(context, late):
    summary_line = context.completed.stdout.splitlines()[0]
    assert f', {late} late' in summary_line, summary_line


@given('a log line prefixed by a time and a name, and lines that are not JSON')
def write_mixed_lines(context):
    line = _render_line(event='request_ended', request_id='a', status=200)
    context.log_lines = [f'12.5 gateway-1 {line}', 'Traceback', '{broken', '{}']


@given('a log without lines of a gateway')
def write_no_gateway_lines(context):
    context.log_lines = ['Traceback']


@given(
    'log lines of an answer {late:d} ms late whose stages took {staged:d} of '
    '{began:d} ms'
)
def write_late_answer(context, late, staged, began):
    context.log_lines = [
        _render_line(
            event='answered',
            request_id='a',
            late_ms=late,
            staged_ms=staged,
            began_after_ms=began,
        ),
        _render_line(event='request_ended', request_id='a', status=200),
    ]


@then('the report says that it was {where}')
def check_late_cause(context, where):
    rows = context.completed.stdout.splitlines()
    assert any(where in row and row.endswith(' 1') for row in rows), rows


@given('log lines of served, late and lost requests of two groups')
def write_groups(context):
    first = {'instance': 'g1', 'organisation': 'one', 'prompt_tokens': 900}
    second = {'instance': 'g2', 'organisation': 'two', 'prompt_tokens': 20_000}
    context.log_lines = [
        _render_line(event='answered', request_id='b', late_ms=20, **first),
        _render_line(
            event='request_ended', request_id='a', status=200, **first
        ),
        _render_line(
            event='request_ended', request_id='b', status=200, **first
        ),
        _render_line(
            event='request_ended',
            request_id='c',
            status=503,
            reason='overloaded',
            step='front',
            **second,
        ),
    ]


@when('an operator asks for the losses by {grouping:w}')
def run_grouped_losses(context, grouping):
    _run_losses(context, '--by', grouping)


@then('the groups are')
def check_groups(context):
    rows = context.completed.stdout.splitlines()
    for expected in context.table:
        (row,) = (
            row[32:].split()
            for row in rows
            if row[:32].strip() == expected['group']
        )
        assert row == [
            expected['requests'],
            expected['not served'],
            expected['late'],
        ], row


@then('the command fails and names what is possible')
def check_unknown_grouping(context):
    assert context.completed.returncode
    output = context.completed.stdout + context.completed.stderr
    assert 'organisation' in output, output


@when('an operator asks for the losses')
def run_losses(context):
    _run_losses(context)


def _run_losses(context, *options) -> None:
    context.completed = subprocess.run(
        [_COMMAND, 'losses', *options],
        input='\n'.join(context.log_lines),
        capture_output=True,
        text=True,
        check=False,
    )


@then('{lost:d} of {owed:d} requests were not served')
def check_totals(context, lost, owed):
    summary_line = context.completed.stdout.splitlines()[0]
    assert summary_line.startswith(f'{owed} requests, {lost} not served'), (
        summary_line
    )


@then('the losses are')
def check_loss_causes(context):
    rows = context.completed.stdout.split('\n\n')[1].splitlines()[1:]
    found = {
        (row[:24].strip(), row[24:48].strip(), row.split()[-2]) for row in rows
    }
    expected = {
        (row['cause'], row['peer'], row['requests']) for row in context.table
    }
    assert found == expected, found


@then('the pool has {calls:d} calls of {mean} pieces, {full} of them full')
def check_pool(context, calls, mean, full):
    (row,) = (
        line
        for line in context.completed.stdout.splitlines()
        if line.startswith('pool ') and 'full' in line
    )
    assert row.split()[1:3] == [str(calls), mean], row
    assert f'full {full}' in row, row


@then('the command fails and says so')
def check_failure(context):
    assert context.completed.returncode == _EXIT_NOTHING_FOUND
    assert 'no line of a gateway' in context.completed.stderr
