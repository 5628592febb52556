"""Shared resources of the entry and sidecar roles."""

import asyncio
import random

import aiohttp

from ragworthollow.conf import DaemonSettings, global_settings
from ragworthollow.configuration.configuration_synchronizer import (
    ConfigurationSynchronizer,
)
from ragworthollow.configuration.store import ConfigurationStore
from ragworthollow.logs.events import log_error
from ragworthollow.membership import PeerDirectory
from ragworthollow.metrics import InvariantMonitor, Metrics
from ragworthollow.platform import InstanceList, InstancePoller, StoreClient
from ragworthollow.transport.connection_guard import ConnectionGuard
from ragworthollow.transport.session import (
    make_session,
    make_unauthenticated_session,
)
from ragworthollow.utils import make_identifier
from ragworthollow_daemon.drain import DrainState


class ProcessContext:
    """
    Own the sessions, metrics and replicated state of one process.

    Must be created inside the running event loop.

    Parameters
    ----------
    settings : DaemonSettings
        Validated settings.
    """

    def __init__(self, *, settings: DaemonSettings) -> None:
        self.settings = settings
        self.incarnation = make_identifier()
        self.metrics = Metrics()
        self.monitor = InvariantMonitor(metrics=self.metrics)
        self.guard = ConnectionGuard(
            memory_mb=settings.memory_mb,
            max_descriptors=settings.max_descriptors,
            metrics=self.metrics,
        )
        self.drain = DrainState()
        self.rng = random.Random(self.incarnation)  # noqa: S311
        self.session = make_session(settings.cluster_key)
        self.plain_session = make_unauthenticated_session()
        self.store = ConfigurationStore(instance=settings.instance)
        self.peers = PeerDirectory(
            instance=settings.instance,
            failure_domain=settings.failure_domain,
            rng=self.rng,
        )
        self.key_value = StoreClient(
            session=self.plain_session,
            base_url=settings.platform.kv_url,
            prefix=settings.platform.prefix,
            timeout_ms=global_settings.PLATFORM_TIMEOUT_MS,
        )
        self.poller = InstancePoller(
            session=self.plain_session,
            url=settings.platform.instances_url,
            on_change=self._set_instances,
        )
        self.follower = ConfigurationSynchronizer(
            key_value=self.key_value,
            store=self.store,
            peers=self.peers,
            session=self.session,
            count_event=self.metrics.count_event,
        )
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Load the instances and the configuration, then poll both."""
        await self.poller.poll()
        await self.follower.start()
        self.spawn(self.poller.run())
        self.spawn(self.follower.run())

    def spawn(self, coroutine) -> None:
        """Run a background task until the process closes."""
        task = asyncio.ensure_future(coroutine)
        task.add_done_callback(_log_task_failure)
        self._tasks.append(task)

    async def close(self) -> None:
        """Cancel the background tasks and close the sessions."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.session.close()
        await self.plain_session.close()

    def _set_instances(self, instances: InstanceList) -> None:
        self.peers.listed = instances


def _log_task_failure(task: asyncio.Task[None]) -> None:
    """Log a background task that raised, which is always a defect."""
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        log_error('loop_failed', step='lifecycle', error=repr(error))


def get_timeout(total_ms: float) -> aiohttp.ClientTimeout:
    """
    Make a timeout for a request and its complete response.

    Parameters
    ----------
    total_ms : float
        Total time from the first byte to the last, in milliseconds.

    Returns
    -------
    ClientTimeout
        Converted to seconds, the unit of aiohttp.
    """
    return aiohttp.ClientTimeout(total=total_ms / 1000)
