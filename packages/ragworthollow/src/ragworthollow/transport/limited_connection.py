"""Receive the requests of one connection within limits."""

import asyncio
from collections.abc import Sequence
from http import HTTPStatus
from typing import TYPE_CHECKING

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from ragworthollow.conf import global_settings
from ragworthollow.transport.connection_table import (
    ConnectionPhase,
    ConnectionTable,
)
from ragworthollow.transport.refusal import render_refusal
from ragworthollow.transport.request_error import (
    RequestError,
    make_malformed_error,
)
from ragworthollow.transport.request_intake import (
    ParsedRequest,
    RequestIntake,
)
from ragworthollow.transport.timed_connection import GetLimits
from ragworthollow.transport.watched_connection import WatchedConnection

if TYPE_CHECKING:
    from ragworthollow.transport.limited_server import LimitedServer

_MILLISECONDS = 1000
# The scanner applies the limits, which may change while a connection is open.
_NO_PARSER_LIMIT = 2**31 - 1


class LimitedConnection(WatchedConnection):
    """
    Limit what a client may send, and what its connection holds.

    One request is handled, and at most one further one waits that has been
    parsed.  Until it is taken up, the connection is not read.

    Parameters
    ----------
    server : LimitedServer
        Server that accepted the connection.
    get_limits : callable
        Returns the active limits.
    table : ConnectionTable
        Connections of the listener.
    bounds_bodies : bool
        Whether the memory of bodies is bounded here, not by their handler.
    options
        Options of the aiohttp request handler.
    """

    def __init__(
        self,
        server: 'LimitedServer',
        *,
        get_limits: GetLimits,
        table: ConnectionTable,
        bounds_bodies: bool,
        **options: object,
    ) -> None:
        super().__init__(
            server,
            get_limits=get_limits,
            log=server.guard.log,
            max_line_size=_NO_PARSER_LIMIT,
            max_field_size=_NO_PARSER_LIMIT,
            max_headers=_NO_PARSER_LIMIT,
            **options,
        )
        # The base class asks for more bytes once no request waits.
        self._max_msg_queue_size = 1
        self._msg_queue_resume_size = 0
        self._table = table
        self._bounds_bodies = bounds_bodies
        self._guard = server.guard
        self._intake = RequestIntake(
            feed=self._feed,
            get_head_limit=lambda: get_limits().header_bytes,
            memory=server.guard.memory,
        )
        # Whether other connections wait until costly bytes are processed.
        self._has_turn = False
        self._is_refused = False
        self._discarded_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to serve a connection, if there is room for it."""
        super().connection_made(transport)
        self._table.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give back what a closed connection holds."""
        self._table.remove(self)
        self._guard.memory.unscanned.hold(self, 0)
        self._guard.memory.bodies.hold(self, 0)
        self._guard.answers.release(self)
        self._intake.close()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Process bytes; the base class passes none when it has room again."""
        if self._force_close or self._close:
            return
        if self._is_refused:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > global_settings.MAX_DISCARDED_BYTES:
                self._abort()
            return
        self._intake.add(data)
        try:
            self._process(is_resumed=not data)
        except RequestError as error:
            self._refuse(error)
        else:
            self._update_head_timer()
        self._record_phase()

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Send a response, then give back the memory of its request."""
        body = resp.body if isinstance(resp, web.Response) else None
        if isinstance(body, bytes):
            self._guard.answers.hold(self, len(body))
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            self._record_answer()

    def evict(self, reason: str) -> None:
        """Close the connection at once, and give back what it holds."""
        self._intake.discard()
        super().evict(reason)

    def take_turn(self) -> None:
        """Go on with bytes that are costly to process."""
        if not self._reading_paused:
            self._has_turn = True
            self._resume_reading_if_drained()
            self._has_turn = False

    def _process(self, *, is_resumed: bool) -> None:
        """Pass on what may be passed on now."""
        if is_resumed:
            self._feed(b'')
        may_go_on = True
        while may_go_on and self._is_holding():
            may_go_on = self._process_next()
        if self._is_holding() and not self._buffer_paused:
            self._pause_reading_for_buffer()
        self._record_memory()

    def _process_next(self) -> bool:
        """Process one head or a part of a body; return whether to go on."""
        if self._intake.has_body():
            may_go_on = self._has_turn or not self._intake.has_costly_body()
            if may_go_on:
                may_go_on = self._intake.process_body()
            if not may_go_on:
                self._guard.turns.add(self)
            return may_go_on
        if self._messages:
            return False
        self._begin_request(self._intake.process_head())
        return True

    def _is_holding(self) -> bool:
        """Return whether bytes wait that the handler need not make room for."""
        return self._intake.has_unscanned() and not self._reading_paused

    def _resume_reading_if_drained(self) -> None:
        """Go on with bytes that have waited for a request before them."""
        if self._is_refused or self._force_close:
            return
        self.data_received(b'')
        if not self._is_holding():
            self._resume_reading_for_buffer()

    def _begin_request(self, request: ParsedRequest | None) -> None:
        """Queue a request for its handler."""
        if request is None:
            return
        self._request_count += 1
        self._messages.append(request)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _feed(self, part: bytes) -> Sequence[ParsedRequest]:
        """Pass bytes to the parser; return the requests that they begin."""
        try:
            requests, is_upgraded, _ = self._parser.feed_data(part)
        except (HttpProcessingError, ValueError) as error:
            raise make_malformed_error(type(error).__name__) from error
        if is_upgraded:
            # Upgrades are declined, and the request is an ordinary one.
            self._parser.set_upgraded(False)
        return requests

    def _record_answer(self) -> None:
        self._guard.answers.release(self)
        self._intake.record_answer()
        self._record_memory()
        self._record_phase()

    def _record_memory(self) -> None:
        if self._manager is None or self._force_close:
            return
        memory = self._guard.memory
        memory.unscanned.hold(self, self._intake.get_unscanned_cost())
        if self._bounds_bodies:
            memory.bodies.hold(self, self._intake.body_bytes)
            if not self._intake.has_body():
                memory.bodies.settle(self)

    def _record_phase(self) -> None:
        if self._manager is None or self._force_close:
            return
        if self.writing_paused:
            phase = ConnectionPhase.unread
        elif self._intake.has_complete_request():
            phase = ConnectionPhase.busy
        elif self._intake.has_body():
            phase = ConnectionPhase.body
        elif self._intake.has_head():
            phase = ConnectionPhase.head
        else:
            phase = ConnectionPhase.idle
        self._table.move(self, phase)

    def _refuse(self, error: RequestError) -> None:
        """
        Refuse a request that cannot be received, after those before it.

        What follows on the connection cannot be told apart, so it is closed.
        """
        self._log.record(
            'request_rejected',
            peer=str(self.peername),
            reason=error.reason,
            status=int(error.status),
        )
        self._is_refused = True
        self._cancel_head_timer()
        self._intake.discard()
        self._guard.memory.unscanned.hold(self, 0)
        if self._intake.has_body():
            # Its handler must not take the body for a whole one.
            self._abort()
        elif self._is_waiting():
            self._write_refusal(error.status)
        else:
            self.close()

    def _write_refusal(self, status: HTTPStatus) -> None:
        """Send a refusal, and close once the client can have read it."""
        if self.transport is None:
            return
        self.transport.write(render_refusal(status))
        self.transport.write_eof()
        self._loop.call_later(
            global_settings.GATEWAY_LINGER_MS / _MILLISECONDS, self.force_close
        )
