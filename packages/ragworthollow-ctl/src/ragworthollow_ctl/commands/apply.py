"""Apply the configuration files of a folder."""

import asyncio
import sys
from pathlib import Path

from ragworthollow.checks import render_messages
from ragworthollow.configuration.change_request import (
    ChangeRequest,
    ChangeResponse,
)
from ragworthollow.configuration.snapshot import Snapshot
from ragworthollow.utils import make_identifier
from ragworthollow_ctl.difference import compare
from ragworthollow_ctl.folder import open_folder, read_base, write_base
from ragworthollow_ctl.service_client import ServiceClient, make_client

_REFUSED = 1
_UNKNOWN_OUTCOME = 3


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
    Show the difference, then activate the owner's files of a folder.

    Exit codes: 0 active, 1 refused or not confirmed, 2 invalid input,
    3 outcome unknown: apply again with the printed change id to resolve it.

    Parameters
    ----------
    folder
        Folder of configuration files.
    owner
        Owner whose files are applied; the service checks that the operator
        key may change them.
    entry
        Base address of an entry; may be given several times.
    prune
        Remove active files of this owner that the folder lacks.
    yes
        Do not ask for confirmation.
    change_id
        Change id of an earlier apply whose response was lost.
    """
    files = open_folder(folder)
    client = make_client(entry or ())
    snapshot = asyncio.run(client.get('snapshot', Snapshot))
    difference = compare(files, snapshot, owner=owner, prune=prune)
    if difference.is_empty() and not change_id:
        _save_base(folder, snapshot)
        sys.stdout.write('nothing to change\n')
        return
    sys.stdout.write('\n'.join(difference.lines))
    sys.stdout.write('\n')
    if not yes and not _is_confirmed():
        sys.exit(_REFUSED)
    request = ChangeRequest(
        change_id=change_id or make_identifier(),
        base=read_base(folder),
        puts=difference.puts,
        removals=difference.removals,
    )
    response = asyncio.run(client.post('changes', request, ChangeResponse))
    _report_outcome(folder, client, request, response)


def _is_confirmed() -> bool:
    sys.stdout.write('apply? [y/N] ')
    sys.stdout.flush()
    return sys.stdin.readline().strip().lower() == 'y'


def _report_outcome(
    folder: Path,
    client: ServiceClient,
    request: ChangeRequest,
    response: ChangeResponse,
) -> None:
    if response.problems:
        sys.stderr.write(f'{render_messages(response.problems)}\n')
    if response.accepted:
        snapshot = asyncio.run(client.get('snapshot', Snapshot))
        _save_base(folder, snapshot)
        sys.stdout.write(f'generation {response.generation} is active\n')
        return
    sys.stderr.write(f'{response.reason}: {response.detail}\n')
    if response.may_have_applied:
        sys.stderr.write(f'change id: {request.change_id}\n')
        sys.exit(_UNKNOWN_OUTCOME)
    sys.exit(_REFUSED)


def _save_base(folder: Path, snapshot: Snapshot) -> None:
    write_base(folder, snapshot.manifest.get_hashes())
