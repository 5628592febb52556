"""Send requests to gateways on connections that stay open."""

import asyncio
import random
import time

from measure.gateway_fleet import GatewayFleet
from measure.sent_request import Sent
from tests.fixtures.open_connection import OpenConnection

_RESPONSE_LIMIT_S = 10
_RECONNECT_S = 0.05
_STREAM_PREFIX = '/stream'
_NEW_CONNECTION_RATIO = 0.2


class GatewayCaller:
    """
    Send requests to one gateway until its process is gone, then to another.

    Parameters
    ----------
    name : str
        Prefix of the identifiers of its requests.
    fleet : GatewayFleet
        Where to send them.
    rng : Random
        Makes the choices repeatable.
    """

    def __init__(
        self, *, name: str, fleet: GatewayFleet, rng: random.Random
    ) -> None:
        self._name = name
        self._fleet = fleet
        self._rng = rng
        self._gateway = rng.choice(tuple(fleet.front_ports))
        self._connection: OpenConnection | None = None
        self._is_first = True
        self.sent: list[Sent] = []

    def is_waiting(self) -> bool:
        """Return whether a request has been sent and has not ended."""
        return bool(self.sent) and not self.sent[-1].ended_s

    async def run(self) -> None:
        while True:
            await asyncio.sleep(self._choose_pause_s())
            if self._connection is not None and self._connection.has_ended():
                self._disconnect()
            if self._connection is None:
                await self._connect()
            is_last = await self._send(self._connection)
            if is_last or self._rng.random() < _NEW_CONNECTION_RATIO:
                self._disconnect()

    def _choose_pause_s(self) -> float:
        longest_s = self._rng.choice((0.1, 1, 4, 6))
        return self._rng.uniform(0, longest_s)

    def _choose_path(self) -> str:
        kind = self._rng.choice(('safe', 'unsafe', 'unsafe', 'stream'))
        if kind == 'stream':
            pause_ms = self._rng.choice((10, 50, 300))
            return f'/stream/paced?{pause_ms}'
        return f'/{kind}/delay?{self._rng.randint(5, 300)}'

    def _choose_headers(self) -> tuple[str, ...]:
        """Return the header lines of the next request beside those of all."""
        return ()

    def _choose_body(self) -> bytes:
        """Return the body of the next request; a request without one is GET."""
        return b''

    def _get_last_event_id(self) -> int:
        """Return the event after which the next response begins."""
        return 0

    def _get_resumed_request(self) -> str:
        """Return the attempt that began the stream which is resumed."""
        return ''

    def _choose_limit_ms(self, path: str) -> int:
        # A stopping gateway refuses requests that may outlast its stop.
        if path.startswith(_STREAM_PREFIX):
            return self._rng.choice((2500, 4000))
        return self._rng.choice((600, 1000, 2500))

    async def _connect(self) -> None:
        while self._connection is None:
            port = self._fleet.front_ports[self._gateway]
            connection = OpenConnection(port=port)
            try:
                await connection.open()
            except OSError:
                self._gateway = self._rng.choice(tuple(self._fleet.front_ports))
                await asyncio.sleep(_RECONNECT_S)
            else:
                self._connection = connection
                self._is_first = True

    def _disconnect(self) -> None:
        self._connection.close()
        self._connection = None

    async def _send(self, connection: OpenConnection) -> bool:
        """Send a request; return whether its connection is of no more use."""
        path = self._choose_path()
        sent = Sent(
            # Of one length: none is a part of another.
            request_id=f'{self._name}-{len(self.sent):04}',
            path=path,
            limit_ms=self._choose_limit_ms(path),
            gateway=self._gateway,
            is_first=self._is_first,
            started_s=time.monotonic(),
            last_event_id=self._get_last_event_id(),
            resumes_request_id=self._get_resumed_request(),
        )
        self._is_first = False
        self.sent.append(sent)
        connection.send(
            sent.path,
            sent.request_id,
            *self._choose_headers(),
            limit_ms=sent.limit_ms,
            body=self._choose_body(),
        )
        try:
            response = await asyncio.wait_for(
                connection.read_response(), _RESPONSE_LIMIT_S
            )
        except TimeoutError:
            return True
        finally:
            sent.ended_s = time.monotonic()
            sent.body = connection.received.decode('latin-1')
        sent.status = response.status
        sent.retry_after_s = response.retry_after_s
        return response.is_last or response.status is None
