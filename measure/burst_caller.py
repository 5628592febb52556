"""Send more requests at a time than the engines have places for."""

import time

from measure.gateway_caller import GatewayCaller
from measure.received_events import read_events

_PERIOD_S = 1
# Part of each period in which requests are sent.
_BURST_S = 0.7
_MAX_PAUSE_S = 0.05
_RESUMABLE = '/resumable/'
_KINDS = ('unsafe-once', 'unsafe', 'stream-once', 'stream', 'resumable', 'safe')


class BurstCaller(GatewayCaller):
    """Send requests in bursts, and take up streams that were broken off."""

    _kind = ''

    def _choose_pause_s(self) -> float:
        phase_s = time.monotonic() % _PERIOD_S
        if phase_s > _BURST_S:
            return _PERIOD_S - phase_s
        return self._rng.uniform(0, _MAX_PAUSE_S)

    def _choose_path(self) -> str:
        if self._get_last_event_id():
            return self.sent[-1].path
        self._kind = self._rng.choice(_KINDS)
        if 'safe' in self._kind:
            return f'/{self._kind}/delay?{self._rng.randint(5, 100)}'
        return f'/{self._kind}/paced?{self._rng.choice((5, 20, 60))}'

    def _choose_headers(self) -> tuple[str, ...]:
        last = self._get_last_event_id()
        return (f'Last-Event-Id: {last}',) if last else ()

    def _choose_body(self) -> bytes:
        return b'to be run once' if 'unsafe' in self._kind else b''

    def _get_last_event_id(self) -> int:
        """Return the last event of a stream that was broken off before."""
        if not self.sent:
            return 0
        last = self.sent[-1]
        if last.status is not None or not last.path.startswith(_RESUMABLE):
            return 0
        events = read_events(last.body)
        return events[-1].event_id if events else last.last_event_id

    def _get_resumed_request(self) -> str:
        """Return what began a stream, although the request does not tell."""
        if not self._get_last_event_id():
            return ''
        last = self.sent[-1]
        return last.resumes_request_id or last.request_id
