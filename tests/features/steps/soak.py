"""Steps of the randomised run."""

import asyncio

from behave import then, when

from measure.soak import run_soak


@when(
    '{deployment} is broken at random from seed {seed:d} for {span:d} seconds'
)
def run(context, deployment, seed, span):
    context.summary = asyncio.run(run_soak(deployment, seed, span))


def _check(context, *names):
    found = {name: context.summary[name] for name in names}
    assert not any(found.values()), context.summary


@then('nothing was lost, doubled, crossed, falsely refused or cut by a stop')
def check_requests(context):
    _check(
        context,
        'lost',
        'doubled',
        'crossed',
        'false_not_run',
        'cut_by_stop',
    )
    assert context.summary['answered'], context.summary


@then('nothing was reverted or violated')
def check_state(context):
    _check(context, 'reverted', 'violations')
