"""Define steps for prompt parts that were running in crashes."""

from behave import given, then, when

from ragworthollow.quarantine import (
    CrashRegistry,
    QuarantineLimits,
    RunningRequest,
)

_TEMPLATE = 'part-template'
_HARMFUL = 'part-harmful'
_DOCUMENT = 'part-document'
_HARMLESS_REQUEST = 'harmless'
# Between two crashes that have nothing to do with each other.
_CRASH_INTERVAL_MS = 2_000
_RUN_MS = 300


class _Crashes:
    """Report crashes of one instance after the other to a registry."""

    def __init__(self) -> None:
        self.registry = CrashRegistry(limits=QuarantineLimits())
        self.now_ms = 10_000
        self._count = 0

    def crash(self, *requests: tuple[str, ...]) -> None:
        """End an instance on which requests, with their parts, were running."""
        self._count += 1
        for fingerprint, *parts in requests:
            self.registry.record_loss(parts)
            self.registry.record_crash(
                RunningRequest(
                    fingerprint=fingerprint,
                    part_fingerprints=tuple(parts),
                    started_ms=self.now_ms - _RUN_MS,
                ),
                f'i{self._count}',
                self.now_ms,
            )
        self.now_ms += _CRASH_INTERVAL_MS

    def is_refused(self, *fingerprints: str) -> bool:
        return self.registry.get_remaining_ms(fingerprints, self.now_ms) > 0


@given('a template and {count:d} instances that run it')
def run_template(context, count):
    context.crashes = _Crashes()
    context.instance_count = count


@when('all of them end within {within_ms:d} milliseconds')
def end_instances(context, within_ms):
    crashes = context.crashes
    first_ms = crashes.now_ms
    for number in range(context.instance_count):
        crashes.now_ms = first_ms + within_ms * number / context.instance_count
        crashes.crash((f'request-{number}', _TEMPLATE))


@then('the template is not quarantined')
def check_template_served(context):
    assert not context.crashes.is_refused('new', _TEMPLATE)


@when('a request with a new document crashes {count:d} instances')
def crash_with_document(context, count):
    context.crashes = _Crashes()
    for _ in range(count):
        context.crashes.crash(('harmful', _TEMPLATE, _DOCUMENT))


@then('the request is quarantined and its document is not')
def check_request_refused(context):
    assert context.crashes.is_refused('harmful', _TEMPLATE, _DOCUMENT)
    assert not context.crashes.is_refused('new', _TEMPLATE, _DOCUMENT)


@when(
    '{count:d} different requests with a new template and a harmful part '
    'crash an instance each'
)
def crash_with_template(context, count):
    context.crashes = _Crashes()
    for number in range(count):
        context.crashes.crash((f'request-{number}', _TEMPLATE, _HARMFUL))


@then(
    'requests with both are refused, and those with the template alone are not'
)
def check_both_refused(context):
    assert context.crashes.is_refused('new', _TEMPLATE, _HARMFUL)
    assert not context.crashes.is_refused('new', _TEMPLATE)
    assert not context.crashes.is_refused('new', _TEMPLATE, _DOCUMENT)


@when(
    '{count:d} different requests with a harmful part crash an instance each, '
    'and a harmless one runs beside two of them'
)
def crash_beside(context, count):
    context.crashes = _Crashes()
    for number in range(count):
        beside = [(_HARMLESS_REQUEST, _DOCUMENT)] if number else []
        context.crashes.crash((f'request-{number}', _HARMFUL), *beside)


@then('the harmful part is quarantined and the harmless request is not')
def check_explained(context):
    assert context.crashes.is_refused('new', _HARMFUL)
    assert not context.crashes.is_refused(_HARMLESS_REQUEST, _DOCUMENT)


@given('a template that has succeeded')
def succeed_with_template(context):
    context.crashes = _Crashes()
    context.crashes.registry.record_success(_TEMPLATE, context.crashes.now_ms)


@when('{count:d} different requests with it alone crash an instance each')
def crash_with_sound_template(context, count):
    for number in range(count):
        context.crashes.crash(
            (f'request-{context.crashes.now_ms}-{number}', _TEMPLATE)
        )


@then('the template is quarantined for {seconds:d} seconds')
def check_template_quarantined(context, seconds):
    crashes = context.crashes
    remaining_ms = crashes.registry.get_remaining_ms(
        (_TEMPLATE,), crashes.now_ms - _CRASH_INTERVAL_MS
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
    context.crashes.crash(('further', _TEMPLATE, _HARMFUL))


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
        context.crashes.crash((f'request-{number}', _TEMPLATE, _HARMFUL))


@then('only the harmful part is quarantined')
def check_only_harmful(context):
    crashes = context.crashes
    quarantined = crashes.registry.list_quarantined(crashes.now_ms)
    assert set(quarantined) == {_HARMFUL}, quarantined
