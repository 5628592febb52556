"""Steps of the soak test with a harmful prompt part."""

from behave import then, when

from measure.harmful_part_soak import count_faults, run

_GATEWAYS = 4


@when(
    'gateway processes are disturbed from seed {seed:d} for {span:d} seconds '
    'while a harmful prompt part comes'
)
def run_gateways(context, seed, span):
    context.summary = run(seed=seed, seconds=span, gateways=_GATEWAYS)


@then(
    'no more than {count:d} requests with it ran 3 seconds after the fifth '
    'crash'
)
def check_late(context, count):
    assert context.summary['harmful_run'], context.summary
    assert context.summary['late'] <= count, context.summary


@then('harmless requests were served afterwards')
def check_harmless(context):
    assert not count_faults(context.summary), context.summary
