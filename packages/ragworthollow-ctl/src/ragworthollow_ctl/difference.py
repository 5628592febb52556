"""Compare a folder with the active configuration."""

import difflib
from dataclasses import dataclass

from ragworthollow.configuration.merge import SourceFile, parse_file
from ragworthollow.configuration.snapshot import Snapshot, hash_text


@dataclass(frozen=True, kw_only=True, slots=True)
class Difference:
    """
    Hold the changes that an apply would make.

    Attributes
    ----------
    puts : dict
        New file contents by file name.
    removals : tuple of str
        Names of the files to remove.
    lines : tuple of str
        Unified diff of all changes.
    """

    puts: dict[str, str]
    removals: tuple[str, ...]
    lines: tuple[str, ...]

    def is_empty(self) -> bool:
        """Return whether nothing would change."""
        return not self.puts and not self.removals


def compare(
    files: list[SourceFile],
    snapshot: Snapshot,
    *,
    owner: str,
    prune: bool,
) -> Difference:
    """
    Compare the files of one owner with the active configuration.

    Parameters
    ----------
    files : list of SourceFile
        Files in the folder.
    snapshot : Snapshot
        Active configuration.
    owner : str
        Only files of this owner are compared.
    prune : bool
        Whether to remove the owner's active files that the folder lacks.

    Returns
    -------
    Difference
        Changes that an apply would make.
    """
    hashes = snapshot.manifest.get_hashes()
    changed = [
        source
        for source in files
        if _get_owner(source) == owner
        and hashes.get(source.name) != hash_text(source.text)
    ]
    puts = {source.name: source.text for source in changed}
    lines: list[str] = []
    for source in changed:
        before_hash = hashes.get(source.name, '')
        before = snapshot.files_by_sha256.get(before_hash, '')
        lines.extend(_render_diff(source.name, before, source.text))
    removals = _get_removals(files, snapshot, owner) if prune else ()
    lines.extend(f'--- {name} is removed' for name in removals)
    return Difference(puts=puts, removals=removals, lines=tuple(lines))


def _get_removals(
    files: list[SourceFile],
    snapshot: Snapshot,
    owner: str,
) -> tuple[str, ...]:
    present = {source.name for source in files}
    return tuple(
        entry.name
        for entry in snapshot.manifest.files
        if entry.name not in present and entry.owner == owner
    )


def _get_owner(source: SourceFile) -> str:
    parsed = parse_file(source)
    return parsed.map(lambda part: part.owner).unwrap_or('')


def _render_diff(name: str, before: str, after: str) -> list[str]:
    return list(
        difflib.unified_diff(
            before.splitlines(),
            after.splitlines(),
            fromfile=f'{name} (active)',
            tofile=f'{name} (folder)',
            lineterm='',
        ),
    )
