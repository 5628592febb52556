"""Define steps for what runs beside a harmful prompt part."""

from behave import then, when

from tests.fixtures.crashes import HARMFUL, TEMPLATE, Crashes

_DOCUMENT = 'part-new-document'
# Longer than crashes that count once are apart.
_LONG_RUN_MS = 800
_SHORT_RUN_MS = 50


@when(
    '{count:d} instances end within {within_ms:d} milliseconds, and requests '
    'sent in between had the template of the harmful ones'
)
def crash_with_later_requests(context, count, within_ms):
    context.crashes = Crashes()
    for number in range(count):
        context.crashes.crash(
            (f'harmful-{number}', TEMPLATE, HARMFUL),
            beside=((f'harmless-{number}', TEMPLATE),),
            run_ms=_LONG_RUN_MS,
            beside_run_ms=_SHORT_RUN_MS,
            interval_ms=within_ms / (count - 1),
        )


@then('requests with the template alone are served')
def check_template_alone(context):
    assert not context.crashes.is_refused('new', TEMPLATE)


@when(
    '{count:d} different requests with a harmful part crash an instance each, '
    'and a new document runs beside three of them'
)
def crash_beside_document(context, count):
    context.crashes = Crashes()
    for number in range(count):
        beside = [(f'beside-{number}', _DOCUMENT)] if number else []
        context.crashes.crash((f'harmful-{number}', HARMFUL), *beside)


@then('the harmful part is quarantined and the document is not')
def check_document_served(context):
    assert context.crashes.is_refused('new', HARMFUL)
    assert not context.crashes.is_refused('new', _DOCUMENT)


@when(
    'a request with a harmful part and its retry crash instances '
    '{apart_ms:d} milliseconds apart, and another request one more'
)
def crash_with_retry(context, apart_ms):
    context.crashes = Crashes()
    for fingerprint in ('first', 'first', 'second'):
        context.crashes.crash(
            (fingerprint, HARMFUL),
            run_ms=_SHORT_RUN_MS,
            interval_ms=apart_ms,
        )
