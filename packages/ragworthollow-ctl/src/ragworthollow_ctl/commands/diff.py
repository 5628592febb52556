"""Show the changes that an apply would make."""

import asyncio
import sys
from pathlib import Path

from ragworthollow.configuration.snapshot import Snapshot
from ragworthollow_ctl.difference import compare
from ragworthollow_ctl.folder import open_folder
from ragworthollow_ctl.service_client import make_client


def diff(
    folder: Path,
    *,
    owner: str,
    entry: list[str] | None = None,
    prune: bool = False,
) -> None:
    """
    Show what an apply of this folder would change, without applying it.

    Parameters
    ----------
    folder
        Folder of configuration files.
    owner
        Owner whose files are compared.
    entry
        Base address of an entry; may be given several times.
    prune
        Also show active files that the folder lacks as removed.
    """
    files = open_folder(folder)
    client = make_client(entry or ())
    snapshot = asyncio.run(client.get('snapshot', Snapshot))
    difference = compare(files, snapshot, owner=owner, prune=prune)
    lines = difference.lines or ('nothing would change',)
    sys.stdout.write('\n'.join(lines))
    sys.stdout.write('\n')
