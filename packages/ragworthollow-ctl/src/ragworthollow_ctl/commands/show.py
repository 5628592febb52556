"""Show the merged configuration of a folder and the source of each value."""

import sys
from pathlib import Path

import msgspec

from ragworthollow.checks import render_messages
from ragworthollow.configuration.checks import check_files
from ragworthollow.configuration.merge import SECTIONS
from ragworthollow_ctl.folder import open_folder


def show(folder: Path) -> None:
    """
    Show the merged configuration of a folder and the file of each value.

    Parameters
    ----------
    folder
        Folder of configuration files.
    """
    files = open_folder(folder)
    merged = check_files(files)
    for section in SECTIONS:
        for name, definition in getattr(merged.deployment, section).items():
            path = f'{section}.{name}'
            text = msgspec.json.encode(definition).decode()
            sys.stdout.write(f'{path}  # {merged.origins[path]}\n  {text}\n')
    if merged.problems:
        sys.stderr.write(f'{render_messages(merged.problems)}\n')
