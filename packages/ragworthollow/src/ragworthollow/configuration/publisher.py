"""Accept changes from operators."""

import dataclasses
from collections.abc import Callable

import msgspec
from result import Err, Ok, Result

from ragworthollow.conf import global_settings
from ragworthollow.configuration.change_record import ChangeRecord
from ragworthollow.configuration.change_request import (
    ChangeAnswer,
    ChangeRequest,
)
from ragworthollow.configuration.change_rules import (
    advance_manifest,
    check_merged,
    check_rights,
    find_settled,
    merge_entries,
)
from ragworthollow.configuration.checks import check_files
from ragworthollow.configuration.keys import MANIFEST_KEY, get_file_key
from ragworthollow.configuration.manifest import Manifest
from ragworthollow.configuration.merge import SourceFile
from ragworthollow.configuration.reader import read_files
from ragworthollow.configuration.snapshot import Snapshot, hash_text
from ragworthollow.configuration.store import (
    ConfigurationStore,
    decode_manifest,
    encode_manifest,
)
from ragworthollow.outcomes import Reason
from ragworthollow.platform import PlatformError, StoreClient, Stored
from ragworthollow.platform.transaction import Put, compare_with


class Publisher:
    """
    Check a change against its owner and the whole, then swap the manifest.

    Parameters
    ----------
    key_value : StoreClient
        The platform's service.
    store : ConfigurationStore
        Configuration in force here.
    get_wall_ms : callable
        Unix time in milliseconds, for the history.
    """

    def __init__(
        self,
        *,
        key_value: StoreClient,
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
        settled = find_settled(manifest, request)
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
            found.ok_value,
        )

    async def _swap(
        self,
        prepared: '_Prepared',
        request: ChangeRequest,
        found: Stored,
    ) -> ChangeAnswer | PlatformError:
        written = await self._write(prepared, request, found)
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
        refused = check_rights(operator, request, manifest)
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
        entries = merge_entries(operator, request, manifest)
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
        refused = check_merged(operator, request, merged, manifest)
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
                manifest=advance_manifest(manifest, entries, record),
                texts=texts,
                problems=merged.problems,
            ),
        )

    async def _write(
        self,
        prepared: '_Prepared',
        request: ChangeRequest,
        found: Stored,
    ) -> Result:
        puts = [
            Put(key=get_file_key(hash_text(text)), text=text)
            for text in request.puts.values()
        ]
        puts.append(
            Put(key=MANIFEST_KEY, text=encode_manifest(prepared.manifest)),
        )
        return await self._key_value.commit(
            compares=[compare_with(MANIFEST_KEY, found)],
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
