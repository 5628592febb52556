"""Validate changes and build the generation that they result in."""

from ragworthollow.checks.report import has_errors
from ragworthollow.conf import global_settings
from ragworthollow.configuration.change_record import ChangeRecord
from ragworthollow.configuration.change_request import (
    ChangeRequest,
    ChangeResponse,
)
from ragworthollow.configuration.file_entry import FileEntry
from ragworthollow.configuration.manifest import Manifest
from ragworthollow.configuration.merge import MergeResult
from ragworthollow.configuration.snapshot import hash_text
from ragworthollow.outcomes import Reason


def find_accepted_change(
    manifest: Manifest,
    request: ChangeRequest,
) -> ChangeResponse | None:
    """Return the response to a change that was already accepted, if any."""
    for record in manifest.history:
        if record.change_id == request.change_id:
            return ChangeResponse(accepted=True, generation=record.generation)
    return None


def check_preconditions(
    operator: str,
    request: ChangeRequest,
    manifest: Manifest,
) -> ChangeResponse | None:
    """Refuse changes to files of other owners or of outdated versions."""
    entries = {entry.name: entry for entry in manifest.files}
    for name in request.get_names():
        entry = entries.get(name)
        if entry is not None and entry.owner != operator:
            return ChangeResponse(
                accepted=False,
                generation=manifest.generation,
                reason=Reason.unauthorized,
                detail=f'{name} is owned by {entry.owner}',
            )
        base_hash = request.base.get(name, '')
        current_hash = entry.sha256 if entry is not None else ''
        if base_hash != current_hash:
            return ChangeResponse(
                accepted=False,
                generation=manifest.generation,
                reason=Reason.conflict,
                detail=_describe_conflict(name, manifest),
            )
    return None


def _describe_conflict(name: str, manifest: Manifest) -> str:
    for record in manifest.history:
        if name in record.files:
            return (
                f'{name} was changed by {record.operator} in generation'
                f' {record.generation}, change {record.change_id}'
            )
    return f'{name} differs from the version that the change is based on'


def check_merge_result(
    operator: str,
    request: ChangeRequest,
    merged: MergeResult,
    manifest: Manifest,
) -> ChangeResponse | None:
    """Refuse a change whose result has a wrong owner or is not valid."""
    for name in request.puts:
        owner = merged.owners.get(name, operator)
        if owner != operator:
            return ChangeResponse(
                accepted=False,
                generation=manifest.generation,
                reason=Reason.unauthorized,
                detail=f'{name} declares owner {owner}, but the change was made'
                f' by {operator}',
            )
    if has_errors(merged.problems):
        return ChangeResponse(
            accepted=False,
            generation=manifest.generation,
            reason=Reason.invalid_configuration,
            detail='the merged configuration is not valid',
            problems=merged.problems,
        )
    return None


def build_file_entries(
    operator: str,
    request: ChangeRequest,
    manifest: Manifest,
) -> list[FileEntry]:
    """Return the file entries of the next generation, sorted by name."""
    changed_names = request.get_names()
    unchanged = [
        entry for entry in manifest.files if entry.name not in changed_names
    ]
    changed = [
        FileEntry(
            name=name,
            owner=operator,
            sha256=hash_text(text),
            generation=manifest.generation + 1,
        )
        for name, text in request.puts.items()
    ]
    return sorted([*unchanged, *changed], key=lambda entry: entry.name)


def advance_manifest(
    manifest: Manifest,
    entries: list[FileEntry],
    record: ChangeRecord,
) -> Manifest:
    """Return the manifest of the next generation."""
    history = (record, *manifest.history)
    return Manifest(
        generation=manifest.generation + 1,
        files=tuple(entries),
        history=history[: global_settings.HISTORY_LENGTH],
    )
