"""Define steps for prompt parts that were running in crashes."""

from behave import given, then, when

from tests.fixtures.crashes import (
    CRASH_INTERVAL_MS,
    HARMFUL,
    TEMPLATE,
    Crashes,
)

_DOCUMENT = 'part-document'
_HARMLESS_REQUEST = 'harmless'


@given('a template and {count:d} instances that run it')
def run_template(context, count):
    context.crashes = Crashes()
    context.instance_count = count


@when('all of them end within {within_ms:d} milliseconds')
def end_instances(context, within_ms):
    crashes = context.crashes
    first_ms = crashes.now_ms
    for number in range(context.instance_count):
        crashes.now_ms = first_ms + within_ms * number / context.instance_count
        crashes.crash((f'request-{number}', TEMPLATE))


@then('the template is not quarantined')
def check_template_served(context):
    assert not context.crashes.is_refused('new', TEMPLATE)


@when('a request with a new document crashes {count:d} instances')
def crash_with_document(context, count):
    context.crashes = Crashes()
    for _ in range(count):
        context.crashes.crash(('harmful', TEMPLATE, _DOCUMENT))


@then('the request is quarantined and its document is not')
def check_request_refused(context):
    assert context.crashes.is_refused('harmful', TEMPLATE, _DOCUMENT)
    assert not context.crashes.is_refused('new', TEMPLATE, _DOCUMENT)


@when(
    '{count:d} different requests with a new template and a harmful part '
    'crash an instance each'
)
def crash_with_template(context, count):
    context.crashes = Crashes()
    for number in range(count):
        context.crashes.crash((f'request-{number}', TEMPLATE, HARMFUL))


@then(
    'requests with both are refused, and those with one of them alone are not'
)
def check_both_refused(context):
    assert context.crashes.is_refused('new', TEMPLATE, HARMFUL)
    assert not context.crashes.is_refused('new', TEMPLATE)
    assert not context.crashes.is_refused('new', TEMPLATE, _DOCUMENT)
    assert not context.crashes.is_refused('new', HARMFUL)


@when(
    '{count:d} different requests with a harmful part crash an instance each, '
    'and a harmless one runs beside two of them'
)
def crash_beside(context, count):
    context.crashes = Crashes()
    for number in range(count):
        beside = [(_HARMLESS_REQUEST, _DOCUMENT)] if number else []
        context.crashes.crash((f'request-{number}', HARMFUL), *beside)


@then('the harmful part is quarantined and the harmless request is not')
def check_explained(context):
    assert context.crashes.is_refused('new', HARMFUL)
    assert not context.crashes.is_refused(_HARMLESS_REQUEST, _DOCUMENT)


@given('a template that has succeeded')
def succeed_with_template(context):
    context.crashes = Crashes()
    context.crashes.registry.record_success(TEMPLATE, context.crashes.now_ms)


@when('{count:d} different requests with it alone crash an instance each')
def crash_with_sound_template(context, count):
    for number in range(count):
        context.crashes.crash(
            (f'request-{context.crashes.now_ms}-{number}', TEMPLATE)
        )


@then('the template is quarantined for {seconds:d} seconds')
def check_template_quarantined(context, seconds):
    crashes = context.crashes
    remaining_ms = crashes.registry.get_remaining_ms(
        (TEMPLATE,), crashes.now_ms - CRASH_INTERVAL_MS
    )
    assert remaining_ms == seconds * 1000, remaining_ms


@then(
    'no more than {count:d} requests with a harmful part are sent 3 seconds '
    'after its fifth crash'
)
def check_late_runs(context, count):
    assert all(runs <= count for runs in context.late_part_runs), (
        context.late_part_runs
    )


@when(
    'a further request with a new template and a harmful part crashes an '
    'instance'
)
def crash_further(context):
    context.crashes.crash(('further', TEMPLATE, HARMFUL))


@then('a quarantine is announced')
def check_announced(context):
    assert _announce(context.crashes)


@then('no quarantine is announced')
def check_not_announced(context):
    assert not _announce(context.crashes)


def _announce(crashes) -> list[str]:
    return crashes.registry.announce_quarantines(crashes.now_ms)


@when('an instance crashes with another request')
def crash_unrelated(context):
    context.crashes.crash(('another', _DOCUMENT))


@when(
    '{count:d} different requests with it and a harmful part crash an instance '
    'each'
)
def crash_with_both(context, count):
    for number in range(count):
        context.crashes.crash((f'request-{number}', TEMPLATE, HARMFUL))


@then('only the harmful part is quarantined')
def check_only_harmful(context):
    crashes = context.crashes
    quarantined = crashes.registry.list_quarantined(crashes.now_ms)
    assert set(quarantined) == {HARMFUL}, quarantined
