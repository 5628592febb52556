"""Show what an apply would change."""

import asyncio
import sys
from pathlib import Path

from result import Err

from ragworthollow.checks import render_messages
from ragworthollow.configuration.snapshot import Snapshot
from ragworthollow_ctl.difference import compare
from ragworthollow_ctl.folder import read_folder
from ragworthollow_ctl.service_client import make_client

_INVALID = 2


def diff(
    folder: Path,
    *,
    owner: str,
    entry: list[str] | None = None,
    prune: bool = False,
) -> None:
    """
    Show what an apply of this folder would change, and change nothing.

    Parameters
    ----------
    folder
        Folder of configuration files.
    owner
        Owner whose files are compared.
    entry
        Base address of an entry; may be given several times.
    prune
        Also show files in force that the folder lacks as removed.
    """
    read = read_folder(folder)
    if isinstance(read, Err):
        sys.stderr.write(f'{render_messages([read.err_value])}\n')
        sys.exit(_INVALID)
    client = make_client(entry or ())
    snapshot = asyncio.run(client.get('snapshot', Snapshot))
    found = compare(read.ok_value, snapshot, owner=owner, prune=prune)
    lines = found.lines or ('nothing would change',)
    sys.stdout.write('\n'.join(lines))
    sys.stdout.write('\n')
