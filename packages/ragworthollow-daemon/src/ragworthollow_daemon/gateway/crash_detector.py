"""Detect instance crashes after connection losses."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.metrics import Metrics
from ragworthollow.quarantine import RunningRequest
from ragworthollow.upstreams import Directory, UpstreamInstance
from ragworthollow.utils import get_boottime_ms

_STEP = 'quarantine'
_MILLISECONDS = 1000

Spawn = Callable[[Coroutine[None, None, None]], asyncio.Task[None]]


class CrashDetector:
    """
    Report what was running on an instance when it crashed.

    A connection may be lost because its instance crashed, but also because a
    response was truncated, a link was reset or an instance shut down as
    planned.  Only after a crash does nothing listen at the address of an
    instance that is listed and has not announced its shutdown.

    Parameters
    ----------
    directory : Directory
        Instances that may get work.
    metrics : Metrics
        Metrics of this process.
    spawn : callable
        Runs a task that outlives the request that caused it.
    on_crash : callable
        Called with the crashed incarnation and what was running there; called
        again with what becomes known later.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        metrics: Metrics,
        spawn: Spawn,
        on_crash: Callable[[str, Iterable[RunningRequest]], None],
    ) -> None:
        self._directory = directory
        self._metrics = metrics
        self._spawn = spawn
        self._on_crash = on_crash
        self._running: dict[str, list[RunningRequest]] = {}
        self._probes: dict[str, asyncio.Task[None]] = {}
        self._crash_times_ms: dict[str, float] = {}

    def record_connection_loss(
        self,
        instance: UpstreamInstance,
        running: Iterable[RunningRequest],
    ) -> None:
        """
        Record that a connection with running requests was lost.

        Parameters
        ----------
        instance : UpstreamInstance
            Instance at the other end of the connection.
        running : iterable of RunningRequest
            Requests that were running on it.
        """
        listed = self._directory.get(instance.instance)
        if listed is None or not listed.is_same_incarnation(instance):
            return
        incarnation = instance.get_incarnation()
        if incarnation in self._crash_times_ms:
            self._on_crash(incarnation, running)
            return
        self._running.setdefault(incarnation, []).extend(running)
        if incarnation not in self._probes:
            self._probes[incarnation] = self._spawn(self._probe(instance))

    async def wait_for_crash_check(self, instance: UpstreamInstance) -> None:
        """Wait until the running check of an instance, if any, has ended."""
        probe = self._probes.get(instance.get_incarnation())
        if probe is not None:
            await asyncio.wait((probe,))

    async def _probe(self, instance: UpstreamInstance) -> None:
        incarnation = instance.get_incarnation()
        try:
            has_crashed = await _is_connection_refused(instance.address)
        finally:
            running = self._running.pop(incarnation)
            self._probes.pop(incarnation)
        if not has_crashed:
            self._metrics.count_event('connection_broken')
            return
        now_ms = get_boottime_ms()
        self._crash_times_ms = {
            crashed: at_ms
            for crashed, at_ms in self._crash_times_ms.items()
            if at_ms > now_ms - global_settings.CRASHED_INCARNATION_TTL_MS
        }
        self._crash_times_ms[incarnation] = now_ms
        self._metrics.count_event('upstream_crashed')
        log_event(
            'upstream_crashed',
            step=_STEP,
            peer=instance.instance,
            started_unix_ms=instance.started_unix_ms,
            pool=instance.pool,
            running=sorted(
                {
                    fingerprint
                    for request in running
                    for fingerprint in request.get_fingerprints()
                }
            ),
        )
        self._on_crash(incarnation, running)


async def _is_connection_refused(address: str) -> bool:
    """
    Return whether a connection to an address is refused.

    A timeout is inconclusive: the instance may be frozen or unreachable.
    """
    host, _, port = address.rpartition(':')
    timeout_s = global_settings.UPSTREAM_CONNECT_TIMEOUT_MS / _MILLISECONDS
    try:
        async with asyncio.timeout(timeout_s):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionError:
        return True
    except (TimeoutError, OSError):
        return False
    writer.close()
    return False
