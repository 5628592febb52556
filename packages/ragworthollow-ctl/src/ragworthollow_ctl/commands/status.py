"""Show the active configuration generation of every process."""

import asyncio
import sys

from ragworthollow.configuration.snapshot import Snapshot
from ragworthollow.membership.process_status import ProcessStatus
from ragworthollow_ctl.service_client import make_client

_BEHIND = 1


def status(*, entry: list[str] | None = None) -> None:
    """
    Show the active generation of each process; exit 1 if any is behind.

    Parameters
    ----------
    entry
        Base address of an entry; may be given several times.
    """
    client = make_client(entry or ())
    newest = asyncio.run(client.get('snapshot', Snapshot)).manifest.generation
    processes = asyncio.run(client.get('fleet', tuple[ProcessStatus, ...]))
    sys.stdout.writelines(_render(process, newest) for process in processes)
    if any(process.generation != newest for process in processes):
        sys.exit(_BEHIND)


def _render(process: ProcessStatus, newest: int) -> str:
    generation = '-' if process.generation is None else process.generation
    suffix = '' if process.generation == newest else '  behind'
    return f'{process.instance}  {process.address}  {generation}{suffix}\n'
