"""Read the responses of one connection."""

import asyncio
from collections.abc import Mapping

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import StreamReader

from ragworthollow.conf import global_settings
from ragworthollow.transport.body_framing import BodyFraming, get_body_framing
from ragworthollow.transport.connection_end import ConnectionEnd
from ragworthollow.transport.exchange import Exchange
from ragworthollow.transport.foreign_response_error import (
    ForeignResponseError,
)
from ragworthollow.transport.joined_head import is_joined_head
from ragworthollow.transport.malformed_response_error import (
    MalformedResponseError,
)
from ragworthollow.transport.response_head import ResponseHead
from ragworthollow.transport.response_intake import ResponseIntake
from ragworthollow.utils import get_monotonic_ms

# Heads with a lower status announce a response.
_FIRST_STATUS = 200
# Copies before the response to one request.
_MAX_COPIES = 4


class ResponseProtocol(ResponseHandler):
    """
    Read the responses that belong to the requests of one connection.

    Bytes that are no response fail the request, and end the connection.

    A peer may send the response to an earlier request once more, where the
    response to the current one is expected. Such a copy is discarded if
    requests and responses name the request. A request is never sent twice on a
    connection, so that a response that names it belongs to this attempt.

    A body without a length or chunks ends with its connection. The base class
    reports its end in the same way whether the peer closed the connection or
    the connection was reset or timed out; here, a failed connection makes it
    incomplete.

    Parameters
    ----------
    loop : AbstractEventLoop
        Loop of the connection.
    identity_header : str
        Header in which requests and their responses name the request; empty if
        the peer names none.
    may_omit_identity : bool
        Whether a response may name no request.  The caller then has to find
        out by other means which request it answers.

    Attributes
    ----------
    connection_end : ConnectionEnd or None
        None while the connection is open.
    wire_bytes : int
        Bytes received since the last request was sent.
    """

    connection_end: ConnectionEnd | None = None

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        *,
        identity_header: str = '',
        may_omit_identity: bool = False,
    ) -> None:
        super().__init__(loop=loop)
        self._identity_header = identity_header
        self._may_omit_identity = may_omit_identity
        self._exchange_count = 0
        self.wire_bytes = 0
        self._began_ms: float = 0
        self._is_idle = True
        self._request_id = ''
        self._sent_ids: set[str] = set()
        self._copy_count = 0
        self._chunked_copy: RawResponseMessage | None = None
        self._intake: ResponseIntake | None = None
        # Responses that the parser has reported since the last request.
        self._message_count = 0
        # Bytes received since the last request, until a response has begun.
        self._head_bytes = 0
        self._has_head = False

    def has_exchanges(self) -> bool:
        """Return whether the connection has carried a request."""
        return self._exchange_count > 0

    def may_carry(self, headers: Mapping[str, str]) -> bool:
        """Return whether a request with these headers may be sent."""
        is_repeat = headers.get(self._identity_header) in self._sent_ids
        return not self.should_close and not is_repeat

    def begin_exchange(self, headers: Mapping[str, str]) -> None:
        """Expect the response to a request that is about to be sent."""
        self._is_idle = False
        self._exchange_count += 1
        self._began_ms = get_monotonic_ms()
        self._copy_count = 0
        self._chunked_copy = None
        self.wire_bytes = 0
        self._head_bytes = 0
        self._has_head = False
        self._intake = None
        self._message_count = 0
        self._request_id = headers.get(self._identity_header, '')
        if self._request_id:
            self._sent_ids.add(self._request_id)
        if self._exchange_count >= global_settings.CONNECTION_EXCHANGES:
            self.force_close()

    def end_exchange(self) -> None:
        """Expect nothing until the next request."""
        self._is_idle = True

    def describe_exchange(self, headers: Mapping[str, str]) -> Exchange:
        """Describe the exchange of a response whose head has just been read."""
        return Exchange(
            number=self._exchange_count,
            response_id=headers.get(self._identity_header, ''),
            head_after_ms=get_monotonic_ms() - self._began_ms,
            discarded_copies=self._copy_count,
        )

    async def read(self) -> tuple[RawResponseMessage, StreamReader]:
        """
        Read the next response head, after copies of earlier responses.

        Raises
        ------
        ForeignResponseError
            If there are too many copies, or one whose end cannot be found, or
            a head that was joined from two.
        """
        while True:
            message, body = await super().read()
            _check_head(message, self._chunked_copy)
            response_id = message.headers.get(self._identity_header, '')
            if response_id == self._request_id or message.code < _FIRST_STATUS:
                return message, body
            if not response_id and self._may_omit_identity:
                return message, body
            if response_id not in self._sent_ids:
                # It cannot be told whose response this is, so the next one on
                # the connection could belong to this request.
                self.force_close()
                return message, body
            await self._discard(message, body)

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Process received bytes; give up a connection that was idle."""
        # The library passes no bytes when it resumes reading.
        if data and self._is_idle:
            self._give_up()
            return
        self.wire_bytes += len(data)
        for start in range(0, len(data) or 1, global_settings.PARSED_BYTES):
            part = data[start : start + global_settings.PARSED_BYTES]
            if not self._has_head:
                self._head_bytes += len(part)
            try:
                self._get_intake().check(part)
            except MalformedResponseError as error:
                self._fail(error)
                return
            super().data_received(part)
            if self._is_over_limits():
                self._fail(
                    aiohttp.ClientPayloadError('no response among many bytes')
                )
            if self.exception() is not None:
                return

    def feed_data(  # noqa: WPS110
        self,
        data: tuple[RawResponseMessage, StreamReader],
        size: int = 0,
    ) -> None:
        """Queue a response whose head has been checked."""
        self._message_count += 1
        if self._message_count > self._get_intake().head_count:
            # What the parser reports behind the last response.
            self._give_up()
            return
        message, _ = data
        self._has_head = self._has_head or message.code >= _FIRST_STATUS
        super().feed_data(data, size)

    def _get_intake(self) -> ResponseIntake:
        """Return what checks the responses to the current request."""
        if self._intake is None:
            self._intake = ResponseIntake(
                is_followed=self._is_followed,
                has_bodies=not self._skip_payload,
            )
        return self._intake

    def _is_followed(self, head: ResponseHead) -> bool:
        """Return whether the response to the current request comes later."""
        if head.is_interim():
            return True
        if self._exchange_count == 1:
            return False
        response_id = head.find_field(self._identity_header)
        return response_id != self._request_id and response_id in self._sent_ids

    def _is_over_limits(self) -> bool:
        """Return whether too much has arrived for the current request."""
        if len(self._buffer) > global_settings.MAX_QUEUED_RESPONSES:
            return True
        limit = global_settings.MAX_RESPONSE_HEAD_BYTES
        return self._head_bytes > limit and not self._has_head

    def _give_up(self) -> None:
        """Close the connection, so that nothing more is received on it."""
        self.force_close()
        if self.transport is not None:
            self.transport.close()

    def _fail(self, error: aiohttp.ClientError) -> None:
        """Fail the request."""
        self._give_up()
        self.set_exception(error)

    async def _discard(
        self, message: RawResponseMessage, body: StreamReader
    ) -> None:
        """Read a response to its end without using it."""
        self._copy_count += 1
        framing = get_body_framing(message.headers)
        if framing is BodyFraming.chunked:
            self._chunked_copy = message
        is_framed = framing is not BodyFraming.connection
        may_continue = is_framed and not message.should_close
        if self._copy_count > _MAX_COPIES or not may_continue:
            raise ForeignResponseError(
                'responses to earlier requests came instead'
            )
        discarded_bytes = 0
        while not body.at_eof():
            discarded_bytes += len(await body.readany())
            if discarded_bytes > global_settings.DISCARDED_BODY_BYTES:
                raise ForeignResponseError(
                    'the response to an earlier request does not end'
                )
        self._head_bytes = 0
        self._has_head = bool(self._buffer)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a body that is not complete, and record the end."""
        if exc is None:
            self.connection_end = ConnectionEnd.closed
        else:
            self.connection_end = ConnectionEnd.failed
            self._fail_body(exc)
        super().connection_lost(exc)

    def _fail_body(self, error: BaseException) -> None:
        body = self._payload
        if body is not None and not body.is_eof():
            body.set_exception(
                aiohttp.ClientPayloadError(
                    f'the connection failed before the end: {error!r}'
                ),
                error,
            )


def _check_head(
    message: RawResponseMessage, chunked_copy: RawResponseMessage | None
) -> None:
    if is_joined_head(message):
        raise ForeignResponseError('a head with another one inside')
    # The library's parser puts the last trailer of a response before the
    # fields of the next one.
    if chunked_copy is not None and (
        _get_first_name(message) != _get_first_name(chunked_copy)
    ):
        raise ForeignResponseError('a head that may begin with a trailer')


def _get_first_name(message: RawResponseMessage) -> str:
    return next(iter(message.headers), '').lower()
