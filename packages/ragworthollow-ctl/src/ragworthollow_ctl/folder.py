"""Read and write an operator's configuration folder."""

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
_INVALID_INPUT = 2


def read_folder(folder: Path) -> Result[list[SourceFile], CheckMessage]:
    """
    Read all configuration files of a folder.

    Parameters
    ----------
    folder : Path
        Folder of configuration files.

    Returns
    -------
    Result
        Files in name order, or a message about the first unreadable file.
    """
    if not folder.is_dir():
        return Err(_make_problem(folder, 'is not a folder'))
    files: list[SourceFile] = []
    for path in sorted(folder.glob(_PATTERN)):
        try:
            source = path.read_bytes()
        except OSError as error:
            return Err(_make_problem(path, f'cannot be read: {error.strerror}'))
        limit = global_settings.MAX_CONFIGURATION_FILE_BYTES
        if len(source) > limit:
            return Err(
                _make_problem(path, f'is over the limit of {limit} bytes'),
            )
        try:
            text = source.decode('utf-8')
        except UnicodeDecodeError as error:
            return Err(
                _make_problem(path, f'is not UTF-8 at byte {error.start}'),
            )
        files.append(SourceFile(name=path.name, text=text))
    return Ok(files)


def open_folder(folder: Path) -> list[SourceFile]:
    """
    Read a folder and exit unless every file can be parsed.

    A file that cannot be parsed has no known owner; skipping it would make an
    incomplete apply look complete.

    Parameters
    ----------
    folder : Path
        Folder of configuration files.

    Returns
    -------
    list of SourceFile
        Files in name order.  Exits with the problems if there are any.
    """
    read = read_folder(folder)
    if isinstance(read, Err):
        exit_with([read.err_value])
    parsed = [parse_file(source) for source in read.ok_value]
    problems = [
        outcome.err_value for outcome in parsed if isinstance(outcome, Err)
    ]
    if problems:
        exit_with(problems)
    return read.ok_value


def exit_with(problems: Sequence[CheckMessage]) -> NoReturn:
    """Write problems to standard error and exit."""
    sys.stderr.write(f'{render_messages(problems)}\n')
    sys.exit(_INVALID_INPUT)


def read_base(folder: Path) -> dict[str, str]:
    """Return the file hashes of the last snapshot, or an empty dict."""
    try:
        return json.loads((folder / BASE_NAME).read_text())
    except (OSError, ValueError):
        return {}


def write_base(folder: Path, base: dict[str, str]) -> None:
    """Save the file hashes of the latest snapshot from the service."""
    (folder / BASE_NAME).write_text(json.dumps(base, indent=1, sort_keys=True))


def _make_problem(path: Path, text: str) -> CheckMessage:
    return CheckMessage(
        check_id='folder.E001',
        text=text,
        hint='files end in .yaml and hold one YAML mapping in UTF-8',
        where=str(path),
    )
