"""Tell what became of the requests of a soak of gateways."""

import math
import time

from measure.gateway_fleet import GatewayFleet
from measure.received_events import read_events
from measure.request_paths import breaks_off, is_stream, may_repeat
from measure.resumption_figures import find_versions, read_stream
from measure.sent_request import Sent
from measure.spoiled_streams import is_spoiled
from ragworthollow.conf import global_settings
from tests.standins.limited_engine import LimitedEngine
from tests.standins.upstream import EVENT_COUNT

_OK = 200
# Statuses that promise that a request has not run and will not.
_NOT_RUN = frozenset((408, 421, 429, 503))
# Earliest exit of a gateway that ends its stop with requests in flight.
_STOP_LIMIT_S = (
    global_settings.GATEWAY_GRACE_S
    - global_settings.GATEWAY_STOP_MARGIN_MS / 1000
    - global_settings.GATEWAY_FINAL_RESPONSES_MS / 1000
)
_LOG_EVENTS = (
    'attempt_failed',
    'answered',
    'request_ended',
    'resume_decided',
    'stream_broken',
    'stream_part',
)
FAULTS = (
    'cut_by_stop',
    'truncated',
    'doubled',
    'crossed',
    'out_of_order',
    'joined',
    'false_not_run',
)


class GatewayJudge:
    """
    Tell what became of each request, once none can run any more.

    Parameters
    ----------
    fleet : GatewayFleet
        Where the requests were sent.
    sent : list of Sent
        All requests.
    """

    def __init__(self, *, fleet: GatewayFleet, sent: list[Sent]) -> None:
        self._fleet = fleet
        self._versions = find_versions(sent)
        # When each request began to run, and where.
        self._runs: dict[str, list[tuple[str, float]]] = {}
        # When an engine of each request crashed, whatever its name was then.
        self._crashes_s: dict[str, float] = {}
        for name, upstream in fleet.upstreams.items():
            crash_s = fleet.crashes_s.get(name, math.inf)
            for run in upstream.runs:
                self._runs.setdefault(run.request_id, []).append(
                    (run.instance, run.began_s)
                )
                self._crashes_s[run.request_id] = min(
                    crash_s, self._crashes_s.get(run.request_id, math.inf)
                )
        self._spoiled_by_engines = {
            request_id
            for upstream in fleet.upstreams.values()
            if isinstance(upstream, LimitedEngine)
            for request_id in upstream.faulty_requests
        }

    def judge(self, sent: Sent) -> None:
        """Set the verdict of a request."""
        sent.runs = len(self._runs.get(sent.request_id, ()))
        sent.verdict = self._find_verdict(sent)

    def is_late(self, sent: Sent) -> bool:
        """Return whether a request was sent to a gateway that was stopping."""
        stop_s = self._find_stop(sent)
        return stop_s is not None and stop_s < sent.started_s

    def describe(self, sent: Sent) -> dict:
        """Return what to report of a request with a fault, and its log."""
        offset_s = time.time() - time.monotonic()
        return {
            'verdict': sent.verdict,
            'request_id': sent.request_id,
            'path': sent.path,
            'resumes_request_id': sent.resumes_request_id,
            'last_event_id': sent.last_event_id,
            'events': [event.text for event in read_stream(sent)],
            'status': sent.status,
            'gateway': sent.gateway,
            'sent_ms': round((sent.started_s + offset_s) * 1000),
            'ended_ms': round((sent.ended_s + offset_s) * 1000),
            'runs': [
                {'engine': name, 'began_ms': round(began_s * 1000)}
                for name, began_s in self._runs.get(sent.request_id, ())
            ],
            'log': [
                line
                for line in self._fleet.processes.read_log(
                    sent.gateway
                ).splitlines()
                if sent.request_id in line
                and any(f'"{event}"' in line for event in _LOG_EVENTS)
            ],
        }

    def _find_verdict(self, sent: Sent) -> str:
        fault = _find_fault(sent) or self._find_join(sent)
        if fault:
            return fault
        if sent.status == _OK:
            return 'answered' if _is_whole(sent) else 'truncated'
        if sent.status is not None:
            return f'{sent.status}'
        return self._find_cut(sent) if sent.runs else 'not_run'

    def _find_join(self, sent: Sent) -> str:
        """Tell whether a stream has events of several software versions."""
        if not is_stream(sent.path):
            return ''
        began_by = self._versions.get(
            sent.resumes_request_id or sent.request_id
        )
        is_joined = any(
            event.version != began_by for event in read_stream(sent)
        )
        return 'joined' if is_joined else ''

    def _find_cut(self, sent: Sent) -> str:
        kinds = {
            one.kind
            for one in self._fleet.disturbances
            if one.gateway == sent.gateway
            and one.began_s <= sent.ended_s
            and one.ended_s >= sent.started_s
        }
        for kind in ('kill', 'freeze'):
            if kind in kinds:
                return f'cut_beside_{kind}'
        if self._is_spoiled(sent):
            return 'broken_by_upstream'
        is_long = is_stream(sent.path)
        if is_long and sent.ended_s - sent.started_s > sent.limit_ms / 1000:
            return 'stream_at_time_limit'
        stop_s = self._find_stop(sent)
        if is_long and stop_s and sent.ended_s - stop_s > _STOP_LIMIT_S:
            return 'stream_at_stop_limit'
        return 'cut_by_stop'

    def _is_spoiled(self, sent: Sent) -> bool:
        is_stream_of_engine = is_stream(sent.path) and (
            sent.request_id in self._spoiled_by_engines
        )
        return (
            is_spoiled(sent.path)
            or breaks_off(sent.path)
            or is_stream_of_engine
            or self._has_lost_engine(sent)
        )

    def _has_lost_engine(self, sent: Sent) -> bool:
        crash_s = self._crashes_s.get(sent.request_id, math.inf)
        return is_stream(sent.path) and crash_s < sent.ended_s

    def _find_stop(self, sent: Sent) -> float | None:
        """Return the time of SIGTERM of the process that got a request."""
        starts = self._fleet.starts[sent.gateway]
        process_start_s = max(
            (start_s for start_s in starts if start_s < sent.started_s),
            default=0,
        )
        stops = self._fleet.stops[sent.gateway]
        return next(
            (
                stop_s
                for stop_s in stops
                if process_start_s < stop_s < sent.ended_s
            ),
            None,
        )


def _find_fault(sent: Sent) -> str:
    """Return what may never occur to a request; empty if nothing did."""
    if sent.runs > 1 and not may_repeat(sent.path):
        return 'doubled'
    if _is_crossed(sent):
        return 'crossed'
    if is_stream(sent.path) and not _is_in_order(sent):
        return 'out_of_order'
    return 'false_not_run' if sent.status in _NOT_RUN and sent.runs else ''


def _is_crossed(sent: Sent) -> bool:
    """Return whether a caller has got a part of another response."""
    if sent.status not in {_OK, None}:
        return False
    if is_stream(sent.path):
        return any(
            not event.text.startswith(sent.request_id)
            for event in read_events(sent.body)
        )
    return sent.body not in {sent.request_id, ''} or (
        sent.status == _OK and not sent.body
    )


def _is_in_order(sent: Sent) -> bool:
    """Return whether events follow those of before without a gap."""
    events = read_events(sent.body)
    return [event.event_id for event in events] == list(
        range(
            sent.last_event_id + 1,
            sent.last_event_id + 1 + len(events),
        )
    )


def _is_whole(sent: Sent) -> bool:
    if not is_stream(sent.path):
        return True
    return len(read_events(sent.body)) == EVENT_COUNT - sent.last_event_id
