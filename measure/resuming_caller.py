"""Ask for streams, and take up at any gateway those that break off."""

import time

from measure.gateway_caller import GatewayCaller
from measure.received_events import read_events
from measure.sent_request import Sent
from tests.fixtures.open_connection import OpenConnection

_OK = 200
_MAX_ATTEMPTS = 8
_MIN_LIMIT_MS = 100
_LIMITS_MS = (6000, 9000)
_LONGEST_PAUSE_S = 0.5
# Pauses between events in ms; after a dash, events until the engine breaks off.
_STREAMS = ('50', '300', '600', '900', '1300', '1300', '300-1', '900-2')


class ResumingCaller(GatewayCaller):
    """Resume streams, on a new connection each, until their time limit."""

    _attempts = 0
    _limit_s = 0.0

    def _choose_pause_s(self) -> float:
        retry_after_s = self.sent[-1].retry_after_s if self.sent else 0
        pause_s = retry_after_s or self._rng.uniform(0, _LONGEST_PAUSE_S)
        if self._may_resume(pause_s):
            self._attempts += 1
            return pause_s
        self._attempts = 0
        return self._rng.uniform(0, _LONGEST_PAUSE_S)

    def _choose_path(self) -> str:
        if self._attempts:
            return self.sent[-1].path
        return f'/resumable/paced?{self._rng.choice(_STREAMS)}'

    def _choose_limit_ms(self, path: str) -> int:
        if not self._attempts:
            limit_ms = self._rng.choice(_LIMITS_MS)
            self._limit_s = time.monotonic() + limit_ms / 1000
            return limit_ms
        left_ms = (self._limit_s - time.monotonic()) * 1000
        return max(_MIN_LIMIT_MS, round(left_ms))

    def _choose_headers(self) -> tuple[str, ...]:
        if not self._attempts:
            return ()
        return (
            f'Last-Event-Id: {self._get_last_event_id()}',
            f'Resumes: {self._get_resumed_request()}',
        )

    def _get_last_event_id(self) -> int:
        return _find_last_event_id(self.sent[-1]) if self._attempts else 0

    def _get_resumed_request(self) -> str:
        if not self._attempts:
            return ''
        last = self.sent[-1]
        return last.resumes_request_id or last.request_id

    async def _send(self, connection: OpenConnection) -> bool:
        await super()._send(connection)
        return True

    async def _connect(self) -> None:
        # As a balancer chooses; any if none is ready.
        ready = self._fleet.get_ready() or tuple(self._fleet.front_ports)
        self._gateway = self._rng.choice(ready)
        await super()._connect()

    def _may_resume(self, pause_s: float) -> bool:
        """Return whether a stream has broken off and may still be resumed."""
        if not self.sent or self.sent[-1].status == _OK:
            return False
        return (
            _find_last_event_id(self.sent[-1]) > 0
            and self._attempts < _MAX_ATTEMPTS
            and time.monotonic() + pause_s < self._limit_s
        )


def _find_last_event_id(sent: Sent) -> int:
    """Return the last event that a caller has after an attempt."""
    is_stream = sent.status in {_OK, None}
    events = read_events(sent.body) if is_stream else []
    return events[-1].event_id if events else sent.last_event_id
