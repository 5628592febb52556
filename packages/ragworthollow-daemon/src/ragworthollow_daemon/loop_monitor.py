"""Log when the event loop stood still, for how long and in which step."""

import asyncio
import contextlib
import signal
import time
from types import FrameType

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.metrics import Metrics
from ragworthollow.utils import get_monotonic_ms

_STEP = 'loop'
_MILLISECONDS = 1000
_OWN_PACKAGES = ('ragworthollow.', 'ragworthollow_daemon.')
_LOG_PACKAGE = 'ragworthollow.logs'
_CALL_SEPARATOR = ' < '
# Timers fire a little late.
_MIN_SAMPLED_DELAY_MS = 50


class LoopMonitor:
    """
    Tell a loop that is kept busy from a process that does not run.

    While one step runs, nothing else does: requests, time limits and health
    checks wait.  A timer that counts processor time samples what is running,
    and logs it (`loop_blocked`) while the stall lasts: the process may be ended
    before the loop runs again.  `loop_stalled` follows at the end of a stall.
    One without processor time is a process that was stopped, waits for its
    processor, or blocks on a file.

    Parameters
    ----------
    metrics : Metrics
        Metrics that count the stalls and record the delays.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        self._metrics = metrics
        self._last_beat_ms = get_monotonic_ms()
        self._last_processor_ms = _get_processor_ms()
        self._sample = ''
        self._next_report_ms: float = global_settings.LOOP_STALL_MS

    def start_sampling(self) -> None:
        """
        Start to sample what is running; must be called in the main thread.

        Without samples, stalls are logged without the step.
        """
        period_s = global_settings.LOOP_SAMPLE_MS / _MILLISECONDS
        try:
            signal.signal(signal.SIGPROF, self._take_sample)
            signal.setitimer(signal.ITIMER_PROF, period_s, period_s)
        except (OSError, ValueError) as error:
            log_event('loop_not_sampled', step=_STEP, error=repr(error))

    def stop_sampling(self) -> None:
        """Stop the timer; the signal stays handled, as one may be pending."""
        with contextlib.suppress(OSError):
            signal.setitimer(signal.ITIMER_PROF, 0)

    async def run(self) -> None:
        """Watch the loop until cancelled."""
        while True:
            await asyncio.sleep(global_settings.LOOP_BEAT_MS / _MILLISECONDS)
            self._beat()

    def _beat(self) -> None:
        """Record that the loop runs, and log how long it did not."""
        now_ms = get_monotonic_ms()
        processor_ms = _get_processor_ms()
        delay_ms = self._get_delay_ms(now_ms)
        self._metrics.latency.record('loop_delay', max(0, delay_ms))
        if delay_ms >= global_settings.LOOP_STALL_MS:
            self._metrics.count_event('loop_stalled')
            log_event(
                'loop_stalled',
                step=_STEP,
                stalled_ms=round(delay_ms),
                processor_ms=round(processor_ms - self._last_processor_ms),
                calls=self._sample,
            )
        self._sample = ''
        self._next_report_ms = global_settings.LOOP_STALL_MS
        self._last_beat_ms = now_ms
        self._last_processor_ms = processor_ms

    def _take_sample(self, _number: int, frame: FrameType | None) -> None:
        """Keep the calls of the step that delays the loop, if one does."""
        delay_ms = self._get_delay_ms(get_monotonic_ms())
        if delay_ms < _MIN_SAMPLED_DELAY_MS or _is_logging(frame):
            return
        self._sample = _describe_calls(frame)
        if delay_ms < self._next_report_ms:
            return
        self._next_report_ms = 2 * delay_ms
        log_event(
            'loop_blocked',
            step=_STEP,
            blocked_ms=round(delay_ms),
            processor_ms=round(_get_processor_ms() - self._last_processor_ms),
            calls=self._sample,
        )

    def _get_delay_ms(self, now_ms: float) -> float:
        """Return for how long the next beat has been due."""
        return now_ms - self._last_beat_ms - global_settings.LOOP_BEAT_MS


def _is_logging(frame: FrameType | None) -> bool:
    """Return whether a log line is being written, which must not nest."""
    while frame is not None:
        if frame.f_globals.get('__name__', '').startswith(_LOG_PACKAGE):
            return True
        frame = frame.f_back
    return False


def _describe_calls(frame: FrameType | None) -> str:
    """Return the innermost calls of this project, the innermost first."""
    calls: list[str] = []
    while frame is not None and len(calls) < global_settings.LOOP_STALL_CALLS:
        module = frame.f_globals.get('__name__', '')
        if not calls or module.startswith(_OWN_PACKAGES):
            calls.append(
                f'{module}.{frame.f_code.co_qualname}:{frame.f_lineno}'
            )
        frame = frame.f_back
    return _CALL_SEPARATOR.join(calls)


def _get_processor_ms() -> float:
    return time.process_time() * _MILLISECONDS
