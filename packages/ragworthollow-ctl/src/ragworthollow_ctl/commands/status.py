"""Show the generation in force in every process."""

import asyncio
import sys

from ragworthollow.configuration.snapshot import Snapshot
from ragworthollow.membership.process_status import ProcessStatus
from ragworthollow_ctl.service_client import make_client

_BEHIND = 1


def status(*, entry: list[str] | None = None) -> None:
    """
    Show the generation in force in each process; exit 1 when any is behind.

    Parameters
    ----------
    entry
        Base address of an entry; may be given several times.
    """
    client = make_client(entry or ())
    newest = asyncio.run(client.get('snapshot', Snapshot)).manifest.generation
    lines = asyncio.run(client.get('fleet', tuple[ProcessStatus, ...]))
    sys.stdout.writelines(_render(line, newest) for line in lines)
    if any(line.generation != newest for line in lines):
        sys.exit(_BEHIND)


def _render(line: ProcessStatus, newest: int) -> str:
    known = '-' if line.generation is None else line.generation
    mark = '' if line.generation == newest else '  behind'
    return f'{line.instance}  {line.address}  {known}{mark}\n'
