"""Steps of the soak test, which injects random faults."""

import asyncio

from behave import then, when

from measure.soak import run_soak


@when(
    '{deployment} is disturbed at random from seed {seed:d} for {span:d} '
    'seconds'
)
def run_with_random_faults(context, deployment, seed, span):
    context.summary = asyncio.run(run_soak(deployment, seed, span))


def _check_counts(context, *names):
    counts = {name: context.summary[name] for name in names}
    assert not any(counts.values()), context.summary


@then('nothing was lost, doubled, crossed, falsely refused or cut by a stop')
def check_request_counts(context):
    _check_counts(
        context,
        'lost',
        'doubled',
        'crossed',
        'false_not_run',
        'cut_by_stop',
    )
    assert context.summary['answered'], context.summary


@then('nothing was reverted or violated')
def check_state_counts(context):
    _check_counts(context, 'reverted', 'violations')
