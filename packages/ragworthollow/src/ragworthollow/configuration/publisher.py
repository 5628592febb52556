"""Validate and publish configuration changes of operators."""

import dataclasses
from collections.abc import Callable

import msgspec
from result import Err, Ok, Result

from ragworthollow.conf import global_settings
from ragworthollow.configuration.change_record import ChangeRecord
from ragworthollow.configuration.change_request import (
    ChangeRequest,
    ChangeResponse,
)
from ragworthollow.configuration.change_rules import (
    advance_manifest,
    build_file_entries,
    check_merge_result,
    check_preconditions,
    find_accepted_change,
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
    Check ownership and the merged result of a change, then publish it.

    A change takes effect by a compare-and-swap of the manifest.

    Parameters
    ----------
    key_value : StoreClient
        Client of the platform's key-value store.
    store : ConfigurationStore
        Active configuration of this process.
    get_wall_ms : callable
        Returns the Unix time in milliseconds, for the change history.
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
    ) -> ChangeResponse:
        """
        Apply one change, or return why it was not accepted.

        When another change came first, the compare-and-swap fails and the
        change is retried on top of it: changes to other files merge, a
        change to the same file is a conflict.  When the response of the
        platform is lost, the next attempt looks up the change id in the
        history, which contains it if and only if the write took effect.

        Parameters
        ----------
        operator : str
            Authenticated operator who requests the change.
        request : ChangeRequest
            The requested change.

        Returns
        -------
        ChangeResponse
            Outcome; `may_have_applied` is set when a write may have taken
            effect without confirmation.
        """
        may_have_applied = False
        for _ in range(global_settings.CHANGE_ATTEMPTS):
            attempt = await self._attempt_change(operator, request)
            if isinstance(attempt, ChangeResponse):
                return attempt
            may_have_applied |= attempt.may_have_applied
        return ChangeResponse(
            accepted=False,
            reason=Reason.platform_unavailable,
            detail='the platform did not confirm the change; retry with the'
            ' same change id, which is never applied twice',
            may_have_applied=may_have_applied,
        )

    async def _attempt_change(
        self,
        operator: str,
        request: ChangeRequest,
    ) -> ChangeResponse | PlatformError:
        stored_manifest = await self._key_value.read(MANIFEST_KEY)
        if isinstance(stored_manifest, Err):
            return dataclasses.replace(
                stored_manifest.err_value, may_have_applied=False
            )
        decoded = decode_manifest(stored_manifest.ok_value.text)
        if isinstance(decoded, Err):
            return ChangeResponse(
                accepted=False,
                reason=Reason.platform_unavailable,
                detail=decoded.err_value.detail,
            )
        manifest = decoded.ok_value
        earlier_response = find_accepted_change(manifest, request)
        if earlier_response is not None:
            await self._apply_manifest(manifest)
            return earlier_response
        prepared = await self._prepare(operator, request, manifest)
        if isinstance(prepared, Err):
            return prepared.err_value
        if request.dry_run:
            return ChangeResponse(
                accepted=False,
                generation=manifest.generation,
                problems=prepared.ok_value.problems,
            )
        return await self._swap(
            prepared.ok_value,
            request,
            stored_manifest.ok_value,
        )

    async def _swap(
        self,
        prepared: '_Prepared',
        request: ChangeRequest,
        stored_manifest: Stored,
    ) -> ChangeResponse | PlatformError:
        written = await self._write(prepared, request, stored_manifest)
        if isinstance(written, Err):
            return written.err_value
        if written.ok_value:
            return self._accept(prepared)
        return PlatformError(
            step=MANIFEST_KEY,
            peer=MANIFEST_KEY,
            detail='the manifest was changed concurrently',
            may_have_applied=False,
        )

    async def _prepare(
        self,
        operator: str,
        request: ChangeRequest,
        manifest: Manifest,
    ) -> Result['_Prepared', ChangeResponse]:
        refusal = check_preconditions(operator, request, manifest)
        if refusal is not None:
            return Err(refusal)
        snapshot = await read_files(self._key_value, self._store, manifest)
        if isinstance(snapshot, Err):
            return Err(
                ChangeResponse(
                    accepted=False,
                    reason=Reason.platform_unavailable,
                    detail=snapshot.err_value.detail,
                ),
            )
        texts = {**self._store.texts, **snapshot.ok_value.files_by_sha256}
        entries = build_file_entries(operator, request, manifest)
        texts.update(
            {hash_text(text): text for text in request.puts.values()},
        )
        merged = check_files(
            [
                SourceFile(name=entry.name, text=texts[entry.sha256])
                for entry in entries
            ],
            self._store.parse_cache.parse,
        )
        refusal = check_merge_result(operator, request, merged, manifest)
        if refusal is not None:
            return Err(refusal)
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
        stored_manifest: Stored,
    ) -> Result:
        puts = [
            Put(key=get_file_key(hash_text(text)), text=text)
            for text in request.puts.values()
        ]
        puts.append(
            Put(key=MANIFEST_KEY, text=encode_manifest(prepared.manifest)),
        )
        return await self._key_value.commit(
            compares=[compare_with(MANIFEST_KEY, stored_manifest)],
            puts=puts,
        )

    def _accept(self, prepared: '_Prepared') -> ChangeResponse:
        needed_hashes = {entry.sha256 for entry in prepared.manifest.files}
        self._store.apply(
            Snapshot(
                manifest=prepared.manifest,
                files_by_sha256={
                    sha256: text
                    for sha256, text in prepared.texts.items()
                    if sha256 in needed_hashes
                },
            ),
        )
        return ChangeResponse(
            accepted=True,
            generation=prepared.manifest.generation,
            problems=prepared.problems,
        )

    async def _apply_manifest(self, manifest: Manifest) -> None:
        snapshot = await read_files(self._key_value, self._store, manifest)
        if isinstance(snapshot, Ok):
            self._store.apply(snapshot.ok_value)


class _Prepared(msgspec.Struct, frozen=True, kw_only=True):
    manifest: Manifest
    texts: dict[str, str]
    problems: tuple
