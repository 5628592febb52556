"""Apply a folder."""

import asyncio
import sys
from pathlib import Path

from ragworthollow.checks import render_messages
from ragworthollow.configuration.change_request import (
    ChangeAnswer,
    ChangeRequest,
)
from ragworthollow.configuration.snapshot import Snapshot
from ragworthollow.utils import make_identifier
from ragworthollow_ctl.difference import compare
from ragworthollow_ctl.folder import open_folder, read_base, write_base
from ragworthollow_ctl.service_client import ServiceClient, make_client

_REFUSED = 1
_UNSETTLED = 3


def apply(
    folder: Path,
    *,
    owner: str,
    entry: list[str] | None = None,
    prune: bool = False,
    yes: bool = False,
    change_id: str = '',
) -> None:
    """
    Show the difference, then put the owner's files of a folder in force.

    Exit codes: 0 in force, 1 refused, 2 bad input, 3 not known whether it
    is in force: apply again with the printed change id to settle it.

    Parameters
    ----------
    folder
        Folder of configuration files.
    owner
        Owner whose files are applied; the service checks the key.
    entry
        Base address of an entry; may be given several times.
    prune
        Remove files of this owner that the folder lacks.
    yes
        Do not ask before applying.
    change_id
        Of an earlier apply whose answer was lost.
    """
    files = open_folder(folder)
    client = make_client(entry or ())
    snapshot = asyncio.run(client.get('snapshot', Snapshot))
    found = compare(files, snapshot, owner=owner, prune=prune)
    if found.is_empty() and not change_id:
        _remember(folder, snapshot)
        sys.stdout.write('nothing to change\n')
        return
    sys.stdout.write('\n'.join(found.lines))
    sys.stdout.write('\n')
    if not yes and not _is_confirmed():
        sys.exit(_REFUSED)
    request = ChangeRequest(
        change_id=change_id or make_identifier(),
        base=read_base(folder),
        puts=found.puts,
        removals=found.removals,
    )
    answer = asyncio.run(client.post('changes', request, ChangeAnswer))
    _report(folder, client, request, answer)


def _is_confirmed() -> bool:
    sys.stdout.write('apply? [y/N] ')
    sys.stdout.flush()
    return sys.stdin.readline().strip().lower() == 'y'


def _report(
    folder: Path,
    client: ServiceClient,
    request: ChangeRequest,
    answer: ChangeAnswer,
) -> None:
    if answer.problems:
        sys.stderr.write(f'{render_messages(answer.problems)}\n')
    if answer.accepted:
        snapshot = asyncio.run(client.get('snapshot', Snapshot))
        _remember(folder, snapshot)
        sys.stdout.write(f'generation {answer.generation} is in force\n')
        return
    sys.stderr.write(f'{answer.reason}: {answer.detail}\n')
    if answer.may_have_applied:
        sys.stderr.write(f'change id: {request.change_id}\n')
        sys.exit(_UNSETTLED)
    sys.exit(_REFUSED)


def _remember(folder: Path, snapshot: Snapshot) -> None:
    write_base(folder, snapshot.manifest.get_hashes())
