"""Steps for responses to stage work that come more than once."""

import asyncio
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from result import Err, Ok

from ragworthollow.conf import global_settings
from ragworthollow.outcomes import Outcome, Reason
from ragworthollow.pieces import PieceCall, WaitingPiece
from ragworthollow.upstreams import UpstreamInstance
from ragworthollow_daemon.gateway.call_monitor import query_is_busy
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.piece_call import send_call
from ragworthollow_daemon.gateway.result_releases import ResultReleaser
from tests.fixtures.gateways import make_settings
from tests.fixtures.piece_pool import make_waiting_piece
from tests.standins.stage_server import Answer, StageServerStandin

_INSTANCE = 's1'
_EXPECTED_MS = 300
_FORMS = ('results', 'rejection', 'reasons', 'a result and a reason')
_EXAMPLES = settings(max_examples=200, deadline=None, derandomize=True)
_COPIED_SECOND_RESPONSE = 2


@given('an instance for stage work that sends {echo} of a request')
def make_instance(context, echo):
    context.is_echoing = echo == 'the identifier'
    context.script = ()
    context.handle_address = ''


@given('an instance for stage work whose handles name another address')
def make_foreign_instance(context):
    context.is_echoing = False
    context.script = ()
    context.handle_address = '127.0.0.1:1'


@given(
    'its second response is {form}, and a copy comes during the third call',
)
def copy_second_response(context, form):
    context.script = (
        Answer(),
        Answer(form=form),
        Answer(is_after_copy=True),
    )


@given('a limit of {count:d} requests for a connection')
def limit_exchanges(context, count):
    patcher = mock.patch.object(global_settings, 'CONNECTION_EXCHANGES', count)
    patcher.start()
    context.add_cleanup(patcher.stop)


@when('{count:d} call for 2 pieces is sent')
@when('{count:d} calls for 2 pieces are sent, one after the other')
def send_calls(context, count):
    _send_all(context, [('call', _make_pieces(n, 2)) for n in range(count)])


@when('{count:d} calls for the same 2 pieces are sent, one after the other')
def repeat_call(context, count):
    _send_all(context, [('call', _make_pieces(0, 2)) for _ in range(count)])


@when('a call, a {message:w} during which a copy comes, and 3 calls are sent')
def send_message_after_call(context, message):
    context.script = (Answer(), Answer(is_after_copy=True))
    _send_all(context, _make_exchanges('call', message, 'call', 'call', 'call'))


@when('a {message:w}, a call during which a copy comes, and 3 calls are sent')
def send_call_after_message(context, message):
    context.script = (Answer(), Answer(is_after_copy=True))
    _send_all(context, _make_exchanges(message, 'call', 'call', 'call', 'call'))


def _make_exchanges(*messages: str):
    return [
        (message, _make_pieces(number, 2))
        for number, message in enumerate(messages)
    ]


def _make_pieces(number: int, count: int) -> tuple[WaitingPiece, ...]:
    return tuple(
        make_waiting_piece(0, request_id=f'request-{number}', number=place)
        for place in range(count)
    )


def _send_all(context, exchanges) -> None:
    context.played = asyncio.run(
        _play(
            exchanges,
            context.script,
            is_echoing=context.is_echoing,
            handle_address=context.handle_address,
        )
    )


async def _play(exchanges, script, *, is_echoing, handle_address=''):
    """Send messages one after the other; return the responses to calls."""
    standin = StageServerStandin(
        script=script,
        is_echoing=is_echoing,
        handle_address=handle_address,
    )
    await standin.start()
    gateway = GatewayContext(settings=make_settings())
    instance = UpstreamInstance(
        instance=_INSTANCE,
        pool='stage',
        address=standin.address,
        failure_domain='one',
        slots=1,
    )
    gateway.directory.replace([instance], 0)
    played = SimpleNamespace(standin=standin, responses=[])
    try:
        for message, pieces in exchanges:
            if message == 'release':
                await ResultReleaser().release(gateway, _INSTANCE, ('h',))
            elif message == 'report':
                await query_is_busy(gateway, instance)
            else:
                call = PieceCall(
                    instance=instance,
                    pieces=pieces,
                    started_ms=0,
                    expected_ms=_EXPECTED_MS,
                )
                response = await send_call(gateway, call)
                played.responses.append((pieces, response))
    finally:
        await gateway.close()
        await standin.stop()
    return played


def _find_foreign_results(played) -> list:
    """Return results whose handles were not made for their pieces."""
    return [
        (waiting.piece.request_id, waiting.piece.number, result.handle)
        for pieces, response in played.responses
        if isinstance(response, Ok)
        for waiting, result in zip(pieces, response.ok_value, strict=True)
        if result.handle
        and played.standin.owners[result.handle]
        != (waiting.piece.request_id, waiting.piece.number)
    ]


def _is_complete(response) -> bool:
    return isinstance(response, Ok) and all(
        result.handle for result in response.ok_value
    )


@then('no piece has a result of another piece')
def check_own_results(context):
    assert not _find_foreign_results(context.played)


@then('no call has a result that an earlier call has made')
def check_new_results(context):
    seen = set()
    for _, response in context.played.responses:
        if isinstance(response, Ok):
            handles = {result.handle for result in response.ok_value} - {''}
            assert not handles & seen, handles & seen
            seen |= handles


@then('at most {lost:d} of the calls after the second have no results')
def check_lost_calls(context, lost):
    later = context.played.responses[_COPIED_SECOND_RESPONSE:]
    incomplete = [
        response for _, response in later if not _is_complete(response)
    ]
    assert len(incomplete) <= lost, incomplete


@then('the last call has all its results')
def check_last_call(context):
    _, response = context.played.responses[-1]
    assert _is_complete(response), response


@then('the instance has got {count:d} connection')
@then('the instance has got {count:d} connections')
def check_connections(context, count):
    assert context.played.standin.connections == count


@then('the call fails with outcome {outcome:w} and reason {reason:w}')
def check_failure(context, outcome, reason):
    ((_, response),) = context.played.responses
    assert isinstance(response, Err), response
    assert response.err_value.outcome is Outcome(outcome)
    assert response.err_value.reason is Reason(reason)


@when('any calls, releases and reports meet any responses and copies')
def play_any(context):
    context.foreign = []
    answers = st.builds(
        Answer,
        form=st.sampled_from(_FORMS),
        is_after_copy=st.booleans(),
    )
    messages = st.sampled_from(('call', 'call', 'call', 'release', 'report'))
    exchanges = st.lists(
        st.tuples(messages, st.integers(1, 2), answers), max_size=8
    )

    @_EXAMPLES
    @for_all(exchanges=exchanges, is_echoing=st.booleans())
    def play(exchanges, is_echoing):
        played = asyncio.run(
            _play(
                [
                    (message, _make_pieces(number, count))
                    for number, (message, count, _) in enumerate(exchanges)
                ],
                tuple(answer for _, _, answer in exchanges),
                is_echoing=is_echoing,
            )
        )
        foreign = _find_foreign_results(played)
        context.foreign += foreign
        assert not foreign, foreign

    play()


@then('no piece ever has a result of another piece')
def check_any(context):
    assert not context.foreign
