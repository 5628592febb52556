"""Stop a role without interrupting its requests."""

import asyncio

from ragworthollow_daemon.drain import DrainState
from ragworthollow_daemon.entry.role import EntryRole
from ragworthollow_daemon.shutdown_limit import ShutdownLimit
from ragworthollow_daemon.sidecar.role import SidecarRole
from ragworthollow_daemon.web import Listener


async def stop_gracefully(
    *,
    role: EntryRole | SidecarRole,
    listener: Listener,
    drain: DrainState,
    limit: ShutdownLimit,
) -> int:
    """
    Leave the fleet, finish all requests and close all connections.

    On an open connection a request may arrive at any moment, and a response
    that was written may not have been delivered.

    Parameters
    ----------
    role : EntryRole or SidecarRole
        What the process serves.
    listener : Listener
        Listener of the process.
    drain : DrainState
        Requests in flight.
    limit : ShutdownLimit
        Limit of the whole stop.

    Returns
    -------
    int
        Number of connections that are still open at the limit.
    """
    await role.leave(limit)
    await drain.wait_until_idle(limit.get_remaining_ms())
    open_connections, _ = await asyncio.gather(
        listener.close(limit.get_remaining_ms()),
        drain.wait_until_idle(limit.get_remaining_ms()),
    )
    await role.end(limit)
    return open_connections
