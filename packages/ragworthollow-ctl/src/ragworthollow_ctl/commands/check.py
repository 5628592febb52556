"""Check a folder offline."""

import sys
from pathlib import Path

from result import Err

from ragworthollow.checks import has_errors, render_messages
from ragworthollow.configuration.checks import check_files
from ragworthollow_ctl.folder import read_folder

_INVALID = 2


def check(folder: Path) -> None:
    """
    Check a folder without calling the service.

    Parameters
    ----------
    folder
        Folder of configuration files.
    """
    read = read_folder(folder)
    if isinstance(read, Err):
        sys.stderr.write(f'{render_messages([read.err_value])}\n')
        sys.exit(_INVALID)
    merged = check_files(read.ok_value)
    if merged.problems:
        sys.stderr.write(f'{render_messages(merged.problems)}\n')
    if has_errors(merged.problems):
        sys.exit(_INVALID)
    sys.stdout.write(f'{len(read.ok_value)} files are valid\n')
