"""Accept changes from operators."""

import dataclasses
from collections.abc import Callable

import msgspec
from result import Err, Ok, Result

from ragworthollow.checks.report import has_errors
from ragworthollow.conf import global_settings
from ragworthollow.configuration.change_record import ChangeRecord
from ragworthollow.configuration.change_request import (
    ChangeAnswer,
    ChangeRequest,
)
from ragworthollow.configuration.checks import check_files
from ragworthollow.configuration.file_entry import FileEntry
from ragworthollow.configuration.keys import MANIFEST_KEY, get_file_key
from ragworthollow.configuration.manifest import Manifest
from ragworthollow.configuration.merge import Merged, SourceFile
from ragworthollow.configuration.reader import read_files
from ragworthollow.configuration.snapshot import Snapshot, hash_text
from ragworthollow.configuration.store import (
    ConfigurationStore,
    decode_manifest,
    encode_manifest,
)
from ragworthollow.outcomes import Reason
from ragworthollow.platform import KeyValue, PlatformError
from ragworthollow.platform.transaction import Compare, Put


class Publisher:
    """
    Check a change against its owner and the whole, then swap the manifest.

    Parameters
    ----------
    key_value : KeyValue
        The platform's service.
    store : ConfigurationStore
        Configuration in force here.
    get_wall_ms : callable
        Unix time in milliseconds, for the history.
    """

    def __init__(
        self,
        *,
        key_value: KeyValue,
        store: ConfigurationStore,
        get_wall_ms: Callable[[], float],
    ) -> None:
        self._key_value = key_value
        self._store = store
        self._get_wall_ms = get_wall_ms

    async def publish(
        self,
        operator: str,
        request: ChangeRequest,
    ) -> ChangeAnswer:
        """
        Apply one change, or say why not.

        A compare-and-swap that finds another change in between starts over:
        other files merge, the same file is a conflict.  A lost answer is
        settled by reading the history back, since the change id is in it if
        and only if the write took effect.

        Parameters
        ----------
        operator : str
            Who asks, already authenticated.
        request : ChangeRequest
            What is asked.

        Returns
        -------
        ChangeAnswer
            Never claims less than what is known.
        """
        may_have_applied = False
        for _ in range(global_settings.CHANGE_ATTEMPTS):
            tried = await self._try_once(operator, request)
            if isinstance(tried, ChangeAnswer):
                return tried
            may_have_applied |= tried.may_have_applied
        return ChangeAnswer(
            accepted=False,
            reason=Reason.platform_unavailable,
            detail='the platform gave no usable answer; ask again with the'
            ' same change id, which never applies twice',
            may_have_applied=may_have_applied,
        )

    async def _try_once(
        self,
        operator: str,
        request: ChangeRequest,
    ) -> ChangeAnswer | PlatformError:
        found = await self._key_value.read(MANIFEST_KEY)
        if isinstance(found, Err):
            return dataclasses.replace(found.err_value, may_have_applied=False)
        manifest = decode_manifest(found.ok_value.text)
        settled = _find_settled(manifest, request)
        if settled is not None:
            await self._put_in_force(manifest)
            return settled
        prepared = await self._prepare(operator, request, manifest)
        if isinstance(prepared, Err):
            return prepared.err_value
        if request.dry_run:
            return ChangeAnswer(
                accepted=False,
                generation=manifest.generation,
                problems=prepared.ok_value.problems,
            )
        return await self._swap(
            prepared.ok_value,
            request,
            found.ok_value.mod_revision,
        )

    async def _swap(
        self,
        prepared: '_Prepared',
        request: ChangeRequest,
        mod_revision: int,
    ) -> ChangeAnswer | PlatformError:
        written = await self._write(prepared, request, mod_revision)
        if isinstance(written, Err):
            return written.err_value
        if written.ok_value:
            return self._accept(prepared)
        return PlatformError(
            step=MANIFEST_KEY,
            peer=MANIFEST_KEY,
            detail='another change came first',
            may_have_applied=False,
        )

    async def _prepare(
        self,
        operator: str,
        request: ChangeRequest,
        manifest: Manifest,
    ) -> Result['_Prepared', ChangeAnswer]:
        refused = _check_rights(operator, request, manifest)
        if refused is not None:
            return Err(refused)
        read = await read_files(self._key_value, self._store, manifest)
        if isinstance(read, Err):
            return Err(
                ChangeAnswer(
                    accepted=False,
                    reason=Reason.platform_unavailable,
                    detail=read.err_value.detail,
                ),
            )
        texts = {**self._store.texts, **read.ok_value.files_by_sha256}
        entries = _merge_entries(operator, request, manifest)
        texts.update(
            {hash_text(text): text for text in request.puts.values()},
        )
        merged = check_files(
            [
                SourceFile(name=entry.name, text=texts[entry.sha256])
                for entry in entries
            ],
            self._store.memory.parse,
        )
        refused = _check_merged(operator, request, merged, manifest)
        if refused is not None:
            return Err(refused)
        record = ChangeRecord(
            change_id=request.change_id,
            generation=manifest.generation + 1,
            operator=operator,
            time_ms=int(self._get_wall_ms()),
            files=request.get_names(),
        )
        return Ok(
            _Prepared(
                manifest=_advance(manifest, entries, record),
                texts=texts,
                problems=merged.problems,
            ),
        )

    async def _write(
        self,
        prepared: '_Prepared',
        request: ChangeRequest,
        mod_revision: int,
    ) -> Result:
        puts = [
            Put(key=get_file_key(hash_text(text)), text=text)
            for text in request.puts.values()
        ]
        puts.append(
            Put(key=MANIFEST_KEY, text=encode_manifest(prepared.manifest)),
        )
        return await self._key_value.commit(
            compares=[Compare(key=MANIFEST_KEY, revision=mod_revision)],
            puts=puts,
        )

    def _accept(self, prepared: '_Prepared') -> ChangeAnswer:
        needed = {entry.sha256 for entry in prepared.manifest.files}
        self._store.apply(
            Snapshot(
                manifest=prepared.manifest,
                files_by_sha256={
                    sha256: text
                    for sha256, text in prepared.texts.items()
                    if sha256 in needed
                },
            ),
        )
        return ChangeAnswer(
            accepted=True,
            generation=prepared.manifest.generation,
            problems=prepared.problems,
        )

    async def _put_in_force(self, manifest: Manifest) -> None:
        read = await read_files(self._key_value, self._store, manifest)
        if isinstance(read, Ok):
            self._store.apply(read.ok_value)


class _Prepared(msgspec.Struct, frozen=True, kw_only=True):
    manifest: Manifest
    texts: dict[str, str]
    problems: tuple


def _find_settled(
    manifest: Manifest,
    request: ChangeRequest,
) -> ChangeAnswer | None:
    for record in manifest.history:
        if record.change_id == request.change_id:
            return ChangeAnswer(accepted=True, generation=record.generation)
    return None


def _check_rights(
    operator: str,
    request: ChangeRequest,
    manifest: Manifest,
) -> ChangeAnswer | None:
    entries = {entry.name: entry for entry in manifest.files}
    for name in request.get_names():
        entry = entries.get(name)
        if entry is not None and entry.owner != operator:
            return ChangeAnswer(
                accepted=False,
                generation=manifest.generation,
                reason=Reason.unauthorized,
                detail=f'{name} belongs to {entry.owner}',
            )
        seen = request.base.get(name, '')
        current = entry.sha256 if entry is not None else ''
        if seen != current:
            return ChangeAnswer(
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
    return f'{name} is not what you last saw'


def _check_merged(
    operator: str,
    request: ChangeRequest,
    merged: Merged,
    manifest: Manifest,
) -> ChangeAnswer | None:
    for name in request.puts:
        owner = merged.owners.get(name, operator)
        if owner != operator:
            return ChangeAnswer(
                accepted=False,
                generation=manifest.generation,
                reason=Reason.unauthorized,
                detail=f'{name} names {owner} as its owner, you are {operator}',
            )
    if has_errors(merged.problems):
        return ChangeAnswer(
            accepted=False,
            generation=manifest.generation,
            reason=Reason.invalid_configuration,
            detail='the merged configuration would not be valid',
            problems=merged.problems,
        )
    return None


def _merge_entries(
    operator: str,
    request: ChangeRequest,
    manifest: Manifest,
) -> list[FileEntry]:
    touched = request.get_names()
    kept = [entry for entry in manifest.files if entry.name not in touched]
    written = [
        FileEntry(
            name=name,
            owner=operator,
            sha256=hash_text(text),
            generation=manifest.generation + 1,
        )
        for name, text in request.puts.items()
    ]
    return sorted([*kept, *written], key=lambda entry: entry.name)


def _advance(
    manifest: Manifest,
    entries: list[FileEntry],
    record: ChangeRecord,
) -> Manifest:
    history = (record, *manifest.history)
    return Manifest(
        generation=manifest.generation + 1,
        files=tuple(entries),
        history=history[: global_settings.HISTORY_LENGTH],
    )
