"""Define steps for the load reports of instances."""

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from ragworthollow.pieces import PieceOutcome
from ragworthollow.platform.request_wire import read_request_parameters
from ragworthollow.platform.response_wire import read_load
from ragworthollow.platform.stage_wire import decode_run
from ragworthollow.upstreams import InstanceLoad, LoadTracker

_HEADER = 'X-Ragworthollow-Server-Load'
_INSTANCE = 'i0'


def _read(text: str) -> InstanceLoad | None:
    return read_load({_HEADER: text})


def _parse(text: str) -> float | None:
    return None if text == 'None' else float(text)


@when('an instance reports its load as "{text}"')
def read_report(context, text):
    context.load = _read(text) or InstanceLoad()


@then('{running} run, {waiting} wait in {slots} slots and work takes {ratio}')
def check_report(context, running, waiting, slots, ratio):
    load = context.load
    figures = [load.running, load.waiting, load.slots, load.work_time_ratio]
    assert figures == [
        _parse(text) for text in (running, waiting, slots, ratio)
    ]


@then('any text of a load report gives counts or nothing')
def check_any_text(context):
    @for_all(st.text(alphabet='0123456789,.-+ex \u00b3\u0663', max_size=40))
    def check(text):
        load = _read(text)
        if load is not None:
            assert all(
                count is None or count >= 0
                for count in (load.running, load.waiting, load.work_time_ratio)
            )
            assert load.slots is None or load.slots > 0

    check()


@given('an instance reported "{text}" at {now_ms:d}')
def record_first(context, text, now_ms):
    context.tracker = LoadTracker()
    context.tracker.record_load(_INSTANCE, _read(text), now_ms)


@when('it reports "{text}" at {now_ms:d}')
def record_next(context, text, now_ms):
    context.tracker.record_load(_INSTANCE, _read(text), now_ms)


@then(
    '{requests:d} requests of others are known at {now_ms:d} '
    'and work takes {ratio}'
)
def check_known(context, requests, now_ms, ratio):
    record = context.tracker.get(_INSTANCE)
    assert record.get_other_requests(now_ms) == requests
    assert record.get_work_time_ratio(now_ms) == _parse(ratio)


@when('a call is answered with a handle and a reason that is new')
def decode_new_reason(context):
    context.results = decode_run(
        b'{"items": [{"handle": "10.0.0.1:80/1"}, {"reason": "moved_on"}]}'
    )


@then('the first piece is done and the second failed')
def check_results(context):
    outcomes = [result.outcome for result in context.results]
    assert outcomes == [PieceOutcome.done, PieceOutcome.failed]


@when('a request states tokens "{tokens}" and parts "{parts}"')
def read_prompt(context, tokens, parts):
    context.parameters = read_request_parameters(
        {
            'X-Ragworthollow-Token-Usage': tokens,
            'X-Ragworthollow-Prefix-Hash': parts,
        }
    )


@then(
    'its prompt has {prompt:d} tokens, {output:d} follow, '
    'and parts of {first:d} and {second:d} tokens'
)
def check_prompt(context, prompt, output, first, second):
    parameters = context.parameters
    assert (parameters.prompt_tokens, parameters.output_tokens) == (
        prompt,
        output,
    )
    assert [part.tokens for part in parameters.prompt_parts] == [first, second]
