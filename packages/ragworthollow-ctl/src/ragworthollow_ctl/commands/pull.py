"""Fetch the active configuration into a folder."""

import asyncio
import sys
from pathlib import Path

from ragworthollow.configuration.snapshot import Snapshot
from ragworthollow_ctl.folder import write_base
from ragworthollow_ctl.service_client import make_client


def pull(
    folder: Path,
    *,
    owner: str,
    entry: list[str] | None = None,
) -> None:
    """
    Write the owner's active files into a folder, to be edited there.

    Parameters
    ----------
    folder
        Folder to write to; created if missing.
    owner
        Owner whose files are written.
    entry
        Base address of an entry; may be given several times.
    """
    client = make_client(entry or ())
    snapshot = asyncio.run(client.get('snapshot', Snapshot))
    folder.mkdir(parents=True, exist_ok=True)
    for active_file in snapshot.manifest.files:
        if active_file.owner == owner:
            text = snapshot.files_by_sha256[active_file.sha256]
            (folder / active_file.name).write_text(text, encoding='utf-8')
            sys.stdout.write(f'{active_file.name}\n')
    write_base(folder, snapshot.manifest.get_hashes())
