"""Divide the bytes of a connection into requests before they are parsed."""

from collections import deque
from collections.abc import Callable, Sequence
from http import HTTPStatus

from aiohttp import HttpVersion10, HttpVersion11
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import StreamReader

from ragworthollow.conf import global_settings
from ragworthollow.transport.head_scanner import HeadScanner
from ragworthollow.transport.receive_memory import (
    ReceiveMemory,
    compute_head_cost,
)
from ragworthollow.transport.request_body import RequestBody
from ragworthollow.transport.request_error import (
    RequestError,
    make_malformed_error,
)

_VERSIONS = frozenset((HttpVersion10, HttpVersion11))

ParsedRequest = tuple[RawRequestMessage, StreamReader]
Feed = Callable[[bytes], Sequence[ParsedRequest]]


class RequestIntake:
    """
    Pass the bytes of a connection to its parser, one request at a time.

    The parser of the library holds whatever arrives behind a malformed head or
    a request for an upgrade, and bounds a line or a field of a head, but not
    their sum.  It therefore gets only bytes whose end is known: a head within
    the limit, and a body without trailers.

    Parameters
    ----------
    feed : callable
        Passes bytes to the parser; returns the requests that they begin.
    get_head_limit : callable
        Returns the maximum size of a head in bytes.
    memory : ReceiveMemory
        Accounts for the heads of all connections.

    Attributes
    ----------
    body_bytes : int
        Bytes of bodies of requests that are not yet answered.
    """

    def __init__(
        self,
        *,
        feed: Feed,
        get_head_limit: Callable[[], int],
        memory: ReceiveMemory,
    ) -> None:
        self._feed = feed
        self._get_head_limit = get_head_limit
        self._memory = memory
        # Received bytes, and the position from which they are not scanned.
        self._received = b''
        self._position = 0
        self._head = HeadScanner()
        self._body: RequestBody | None = None
        # Memory of the heads of the requests that are not yet answered.
        self._head_costs: deque[int] = deque()
        self.body_bytes = 0

    def add(self, received: bytes) -> None:
        """Take bytes from the connection."""
        self._received = self._received[self._position :] + received
        self._position = 0

    def has_unscanned(self) -> bool:
        """Return whether bytes wait that have not been scanned."""
        return self._position < len(self._received)

    def has_head(self) -> bool:
        """Return whether a part of a head has arrived."""
        return self._head.has_begun()

    def has_body(self) -> bool:
        """Return whether the end of a body has not arrived."""
        return self._body is not None

    def has_costly_body(self) -> bool:
        """Return whether many bytes wait of a body that may be costly."""
        unscanned_bytes = len(self._received) - self._position
        return (
            self._body is not None
            and self._body.may_be_costly()
            and unscanned_bytes > global_settings.CHEAP_BODY_BYTES
        )

    def has_complete_request(self) -> bool:
        """Return whether a request has arrived that is not yet answered."""
        return len(self._head_costs) > self.has_body()

    def get_unscanned_cost(self) -> int:
        """Return the memory of bytes that belong to no request as yet."""
        held_bytes = len(self._received) - self._position
        if self._head.has_begun():
            held_bytes += self._get_head_cost()
        return held_bytes

    def process_head(self) -> ParsedRequest | None:
        """
        Pass on bytes of a head; return the request when it is complete.

        Raises
        ------
        RequestError
            If it is malformed or too large, or there is no room for it.
        """
        limit_bytes = self._get_head_limit()
        received = self._peek(limit_bytes + 1)
        size_bytes = self._head.scan(received, limit_bytes)
        if self._head.is_complete:
            self._reserve_head()
        self._advance(size_bytes)
        requests = self._feed(received[:size_bytes])
        if len(requests) != self._head.is_complete:
            raise make_malformed_error('head_end')
        if not requests:
            return None
        self._head = HeadScanner()
        message, payload = requests[0]
        _check_message(message)
        body = RequestBody(message=message, trailer_limit_bytes=limit_bytes)
        self._body = None if body.is_complete() else body
        return message, payload

    def process_body(self) -> bool:
        """
        Pass on bytes of a body; return whether it may go on at once.

        Raises
        ------
        RequestError
            If its end cannot be told.
        """
        body = self._body
        if body is None:
            return True
        part, size_bytes = body.read(self._peek(global_settings.PARSED_BYTES))
        self._advance(size_bytes)
        self.body_bytes += size_bytes
        if self._feed(part):
            raise make_malformed_error('body_end')
        if body.is_complete():
            self._body = None
        return not body.has_used_turn()

    def record_answer(self) -> None:
        """Give back the memory of the request that has been answered."""
        if self._head_costs:
            self._memory.release_head(self._head_costs.popleft())
        if not self._head_costs:
            self.body_bytes = 0

    def discard(self) -> None:
        """Drop the bytes that have not been scanned."""
        self._received = b''
        self._position = 0

    def close(self) -> None:
        """Give back all memory."""
        self.discard()
        while self._head_costs:
            self.record_answer()

    def _reserve_head(self) -> None:
        cost_bytes = self._get_head_cost()
        if not self._memory.try_reserve_head(cost_bytes):
            raise RequestError(
                HTTPStatus.SERVICE_UNAVAILABLE, 'head_memory_full'
            )
        self._head_costs.append(cost_bytes)

    def _get_head_cost(self) -> int:
        return compute_head_cost(self._head.size_bytes, self._head.line_count)

    def _advance(self, size_bytes: int) -> None:
        self._position += size_bytes
        if not self.has_unscanned():
            self.discard()

    def _peek(self, size_bytes: int) -> bytes:
        return self._received[self._position : self._position + size_bytes]


def _check_message(message: RawRequestMessage) -> None:
    """
    Refuse a head that the parser accepts, but whose body may end elsewhere.

    The parser drops codings that it does not know from a body, or takes a body
    for the next request, and reads versions that have no such bodies.

    Raises
    ------
    RequestError
        If the version or a transfer coding is not known, or the request asks
        for a tunnel.
    """
    if message.method == 'CONNECT':
        raise make_malformed_error('method_connect')
    if message.version not in _VERSIONS:
        raise make_malformed_error('version')
    codings = message.headers.getall('Transfer-Encoding', [])
    if not codings:
        return
    is_known = [coding.lower() for coding in codings] == ['chunked']
    if not is_known or message.version == HttpVersion10:
        raise make_malformed_error('transfer_coding')
