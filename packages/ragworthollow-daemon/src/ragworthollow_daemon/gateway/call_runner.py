"""Send calls for pieces and await their results."""

import asyncio
from collections.abc import Callable, Coroutine

from result import Err, Result

from ragworthollow.outcomes import Outcome, Reason
from ragworthollow.pieces import PieceCall, PieceResult
from ragworthollow_daemon.gateway.call_monitor import CallMonitor, QueryIsBusy
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.upstream_failure import UpstreamFailure

_STEP = 'pieces'

CallResult = Result[tuple[PieceResult, ...], UpstreamFailure]
SendCall = Callable[
    [GatewayContext, PieceCall],
    Coroutine[None, None, CallResult],
]


class CallRunner:
    """
    Send calls, and cancel those that no instance is working on.

    Parameters
    ----------
    context : GatewayContext
        State of this gateway.
    send : callable
        Sends one call and returns its results.
    query : callable
        Queries whether an instance has any call in progress.
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        send: SendCall,
        query: QueryIsBusy,
    ) -> None:
        self._context = context
        self._send = send
        self._monitor = CallMonitor(context=context, query=query)
        self._responses: dict[PieceCall, asyncio.Future[CallResult]] = {}

    async def run(
        self,
        call: PieceCall,
        on_slow: Callable[[], None],
    ) -> CallResult:
        """
        Send a call and wait until it ends.

        Parameters
        ----------
        call : PieceCall
            Call to send.
        on_slow : callable
            Called once if the call is slow.

        Returns
        -------
        Result
            Results in the order of the pieces, or why there are none.
        """
        record = self._context.load_tracker.get(call.instance.instance)
        record.in_flight += 1
        response = asyncio.ensure_future(self._send(self._context, call))
        self._responses[call] = response
        try:
            is_lost = await self._monitor.monitor(call, response, on_slow)
        finally:
            self._responses.pop(call)
            record.in_flight -= 1
        if is_lost:
            response.cancel()
            return _make_error(call, Reason.answer_lost)
        if response.cancelled():
            return _make_error(call, Reason.connection_lost)
        return response.result()

    def cancel_calls(self, instance: str) -> None:
        """Cancel the calls to an instance that no longer knows them."""
        for call, response in self._responses.items():
            if call.instance.instance == instance:
                response.cancel()


def _make_error(call: PieceCall, reason: Reason) -> Err[UpstreamFailure]:
    return Err(
        UpstreamFailure(
            outcome=Outcome.unknown,
            reason=reason,
            step=_STEP,
            peer=call.instance.instance,
            detail='the instance is not working on the call',
        ),
    )
