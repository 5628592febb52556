"""Compare a folder with what is in force."""

import difflib
from dataclasses import dataclass

from ragworthollow.configuration.merge import SourceFile, parse_file
from ragworthollow.configuration.snapshot import Snapshot, hash_text


@dataclass(frozen=True, kw_only=True, slots=True)
class Difference:
    """
    Hold what would change.

    Attributes
    ----------
    puts : dict
        New texts by file name.
    removals : tuple of str
        Files to be removed.
    lines : tuple of str
        Unified diff.
    """

    puts: dict[str, str]
    removals: tuple[str, ...]
    lines: tuple[str, ...]

    def is_empty(self) -> bool:
        """Tell whether nothing would change."""
        return not self.puts and not self.removals


def compare(
    files: list[SourceFile],
    snapshot: Snapshot,
    *,
    owner: str,
    prune: bool,
) -> Difference:
    """
    Compare the files of one owner with those in force.

    Parameters
    ----------
    files : list of SourceFile
        Files of the folder.
    snapshot : Snapshot
        What is in force.
    owner : str
        Only files of this owner are compared; empty for all.
    prune : bool
        Whether the owner's files missing in the folder are to be removed.

    Returns
    -------
    Difference
        What an apply would do.
    """
    entries = {entry.name: entry for entry in snapshot.manifest.files}
    puts: dict[str, str] = {}
    lines: list[str] = []
    for source in files:
        entry = entries.get(source.name)
        if owner and _get_owner(source) != owner:
            continue
        if entry is not None and entry.sha256 == hash_text(source.text):
            continue
        before = snapshot.files_by_sha256[entry.sha256] if entry else ''
        puts[source.name] = source.text
        lines.extend(_render(source.name, before, source.text))
    names = {source.name for source in files}
    removals: tuple[str, ...] = ()
    if prune:
        removals = tuple(
            entry.name
            for entry in snapshot.manifest.files
            if entry.name not in names and entry.owner == owner
        )
    lines.extend(f'--- {name} is removed' for name in removals)
    return Difference(puts=puts, removals=removals, lines=tuple(lines))


def _get_owner(source: SourceFile) -> str:
    parsed = parse_file(source)
    # A file that cannot be parsed is sent, so that the check names its fault.
    return parsed.map(lambda part: part.owner).unwrap_or('')


def _render(name: str, before: str, after: str) -> list[str]:
    return list(
        difflib.unified_diff(
            before.splitlines(),
            after.splitlines(),
            fromfile=f'{name} (in force)',
            tofile=f'{name} (folder)',
            lineterm='',
        ),
    )
