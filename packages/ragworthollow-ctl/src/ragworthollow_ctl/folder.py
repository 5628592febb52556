"""Read and write the operators' folder."""

import json
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import NoReturn

from result import Err, Ok, Result

from ragworthollow.checks import CheckMessage, render_messages
from ragworthollow.conf import global_settings
from ragworthollow.configuration.merge import SourceFile, parse_file

BASE_NAME = '.ragworthollow-base.json'
_PATTERN = '*.yaml'
_INVALID = 2


def read_folder(folder: Path) -> Result[list[SourceFile], CheckMessage]:
    """
    Read all configuration files of a folder.

    Parameters
    ----------
    folder : Path
        The folder.

    Returns
    -------
    Result
        Files in name order, or the first that cannot be read.
    """
    if not folder.is_dir():
        return Err(_explain(folder, 'is not a folder'))
    files: list[SourceFile] = []
    for path in sorted(folder.glob(_PATTERN)):
        try:
            source = path.read_bytes()
        except OSError as error:
            return Err(_explain(path, f'cannot be read: {error.strerror}'))
        limit = global_settings.MAX_CONFIGURATION_FILE_BYTES
        if len(source) > limit:
            return Err(_explain(path, f'is over the limit of {limit} bytes'))
        try:
            text = source.decode('utf-8')
        except UnicodeDecodeError as error:
            return Err(_explain(path, f'is not UTF-8 at byte {error.start}'))
        files.append(SourceFile(name=path.name, text=text))
    return Ok(files)


def open_folder(folder: Path) -> list[SourceFile]:
    """
    Read a folder for a command that needs every file to be readable.

    A file that cannot be parsed has no owner; leaving it out would make an
    apply look complete when it is not.

    Parameters
    ----------
    folder : Path
        The folder.

    Returns
    -------
    list of SourceFile
        Exits with the problems when there are any.
    """
    read = read_folder(folder)
    if isinstance(read, Err):
        exit_with([read.err_value])
    parsed = [parse_file(source) for source in read.ok_value]
    problems = [one.err_value for one in parsed if isinstance(one, Err)]
    if problems:
        exit_with(problems)
    return read.ok_value


def exit_with(problems: Sequence[CheckMessage]) -> NoReturn:
    """Write problems to standard error and end the command."""
    sys.stderr.write(f'{render_messages(problems)}\n')
    sys.exit(_INVALID)


def read_base(folder: Path) -> dict[str, str]:
    """Return the hash of each file as last seen from the service."""
    try:
        return json.loads((folder / BASE_NAME).read_text())
    except (OSError, ValueError):
        return {}


def write_base(folder: Path, base: dict[str, str]) -> None:
    """Remember the hash of each file as just seen from the service."""
    (folder / BASE_NAME).write_text(json.dumps(base, indent=1, sort_keys=True))


def _explain(path: Path, text: str) -> CheckMessage:
    return CheckMessage(
        check_id='folder.E001',
        text=text,
        hint='files end in .yaml and hold one YAML mapping in UTF-8',
        where=str(path),
    )
