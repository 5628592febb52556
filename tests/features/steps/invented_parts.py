"""Define steps for prompts with many parts or invented ones."""

from behave import given, then, when

from ragworthollow.quarantine import make_part_fingerprints
from tests.fixtures.crashes import HARMFUL, TEMPLATE, Crashes

_LATE_PART = 'late'


@when(
    '{count:d} different requests with {parts:d} parts of their own before a '
    'harmful one crash an instance each'
)
def crash_behind_others(context, count, parts):
    context.crashes = Crashes()
    for number in range(count):
        own = [f'{number}-{part}' for part in range(parts)]
        fingerprints = make_part_fingerprints((*own, _LATE_PART))
        context.crashes.crash((f'request-{number}', *fingerprints))


@when('{count:d} different requests with a harmful part crash an instance each')
def crash_with_harmful(context, count):
    if not hasattr(context, 'crashes'):
        context.crashes = Crashes()
    for _ in range(count):
        context.crashes.crash((f'request-{context.crashes.now_ms}', HARMFUL))


@when(
    '{count:d} requests with {parts:d} invented parts each run in a later crash'
)
def crash_with_invented(context, count, parts):
    context.crashes.crash(
        *(
            (
                f'inventive-{number}',
                *(f'part-{number}-{part}' for part in range(parts)),
            )
            for number in range(count)
        )
    )


@given('a template that has succeeded {count:d} times')
def succeed_often(context, count):
    context.crashes = Crashes()
    for _ in range(count):
        context.crashes.registry.record_success(TEMPLATE, 0)


@when('{count:d} invented parts have succeeded once each')
def succeed_invented(context, count):
    for number in range(count):
        context.crashes.registry.record_success(f'part-invented-{number}', 0)


@then('requests with the harmful part are refused')
def check_harmful_refused(context):
    assert context.crashes.is_refused('new', HARMFUL)


@then('requests with the late part are refused')
def check_late_refused(context):
    fingerprints = make_part_fingerprints((_LATE_PART,))
    assert context.crashes.is_refused('new', *fingerprints)
