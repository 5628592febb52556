"""Steps of the model of the reads that resumptions wait for."""

from behave import then, when

from measure.resumption_reads.model import ReadModel
from measure.resumption_reads.pattern import PATTERNS
from ragworthollow.conf import global_settings

_PATTERN = 'one domain lost'
_MAX_UNREAD = 0.1


@when('the streams of a lost domain are resumed at {gateways:d} gateways')
def resume_streams(context, gateways):
    _play(context, gateways, global_settings.RESUME_VERSION_READS_PER_S)


@when(
    'the streams of a lost domain are resumed at {gateways:d} gateways that '
    'read {reads_per_s:d} times a second'
)
def resume_streams_at_pace(context, gateways, reads_per_s):
    _play(context, gateways, reads_per_s)


@then('less than a tenth of the resumptions lack a read')
def check_read(context):
    assert context.outcome.counts['resumed'], context.outcome
    assert _get_unread(context) < _MAX_UNREAD, context.outcome.counts


@then('more than a tenth of the resumptions lack a read')
def check_unread(context):
    assert _get_unread(context) > _MAX_UNREAD, context.outcome.counts


def _get_unread(context) -> float:
    return context.outcome.get_share('unread')


def _play(context, gateways, reads_per_s) -> None:
    context.outcome = ReadModel(
        gateways=gateways,
        pattern=PATTERNS[_PATTERN],
        reads_per_s=reads_per_s,
        seed=1,
    ).play()
