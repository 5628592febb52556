"""Steps of the soak test of gateway processes."""

from behave import then, when

from measure.gateway_soak import count_faults, run

_GATEWAYS = 4
# On a busy machine a run may have no stream that breaks off at the right time.
_MAX_RUNS = 3


@when(
    'gateway processes are disturbed at random from seed {seed:d} for {span:d} '
    'seconds'
)
def run_gateways(context, seed, span):
    context.summary = run(
        seed=seed,
        seconds=span,
        gateways=_GATEWAYS,
        has_faulty_engines=False,
    )


@when(
    'gateways in front of full engines are disturbed at random from seed '
    '{seed:d} for {span:d} seconds'
)
def run_before_full_engines(context, seed, span):
    context.summary = run(
        seed=seed, seconds=span, gateways=_GATEWAYS, has_faulty_engines=True
    )


@when(
    'gateways of engines that change their version are disturbed at random '
    'from seed {seed:d} for {span:d} seconds'
)
def run_with_versions(context, seed, span):
    """Run with further seeds until a caller has resumed a stream."""
    context.summaries = []
    for later in range(_MAX_RUNS):
        context.summary = run(
            seed=seed + later,
            seconds=span,
            gateways=_GATEWAYS,
            has_faulty_engines=False,
            has_versions=True,
        )
        context.summaries.append(context.summary)
        if _count_resumed(context.summary):
            return


def _count_resumed(summary) -> int:
    return sum(
        period['resumed']['served'] for period in summary['streams'].values()
    )


@then(
    'no request was cut by a stop, doubled, crossed, out of order or falsely '
    'refused'
)
def check_requests(context):
    assert not count_faults(context.summary), context.summary
    assert context.summary['answered'], context.summary


@then('no stream is joined from two versions, and some were resumed')
def check_streams(context):
    for summary in context.summaries:
        assert not count_faults(summary), summary
        assert not summary['joined'], summary
    assert _count_resumed(context.summary), context.summaries
