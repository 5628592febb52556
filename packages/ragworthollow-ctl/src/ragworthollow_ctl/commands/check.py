"""Check a folder of configuration files offline."""

import sys
from pathlib import Path

from ragworthollow.checks import has_errors, render_messages
from ragworthollow.configuration.checks import check_files
from ragworthollow_ctl.folder import exit_with, open_folder


def check(folder: Path) -> None:
    """
    Check a folder without contacting the service.

    Parameters
    ----------
    folder
        Folder of configuration files.
    """
    files = open_folder(folder)
    merged = check_files(files)
    if has_errors(merged.problems):
        exit_with(merged.problems)
    if merged.problems:
        sys.stderr.write(f'{render_messages(merged.problems)}\n')
    sys.stdout.write(f'{len(files)} files are valid\n')
