"""Read a configuration generation from the platform."""

from collections.abc import Callable

from result import Err, Ok, Result

from ragworthollow.configuration.exceptions import ConfigurationError
from ragworthollow.configuration.keys import MANIFEST_KEY, get_file_key
from ragworthollow.configuration.manifest import Manifest
from ragworthollow.configuration.snapshot import Snapshot
from ragworthollow.configuration.store import (
    ConfigurationStore,
    decode_manifest,
)
from ragworthollow.platform import PlatformError, StoreClient, Stored


async def refresh_store(
    key_value: StoreClient,
    store: ConfigurationStore,
    on_refused: Callable[[ConfigurationError], None],
) -> Result[Stored, PlatformError]:
    """
    Read the manifest and apply its generation if it is newer.

    Parameters
    ----------
    key_value : StoreClient
        Client of the platform's key-value store.
    store : ConfigurationStore
        Store to update; files that it already holds are not read again.
    on_refused : callable
        Called with the error of a newer generation that is not valid.

    Returns
    -------
    Result
        Stored manifest record, or the error of the platform.
    """
    manifest_result = await key_value.read(MANIFEST_KEY)
    if isinstance(manifest_result, Err):
        return manifest_result
    decoded = decode_manifest(manifest_result.ok_value.text)
    if isinstance(decoded, Err):
        return decoded
    manifest = decoded.ok_value
    if manifest.generation > store.generation:
        snapshot = await read_files(key_value, store, manifest)
        if isinstance(snapshot, Err):
            return snapshot
        applied = store.apply(snapshot.ok_value)
        if isinstance(applied, Err):
            on_refused(applied.err_value)
    return manifest_result


async def read_files(
    key_value: StoreClient,
    store: ConfigurationStore,
    manifest: Manifest,
) -> Result[Snapshot, PlatformError]:
    """
    Read the files of a manifest that the store does not hold.

    Returns
    -------
    Result
        Snapshot that can be applied, or the error of the platform.
    """
    texts: dict[str, str] = {}
    for sha256 in store.get_missing_hashes(manifest):
        file_read = await key_value.read(get_file_key(sha256))
        if isinstance(file_read, Err):
            return file_read
        texts[sha256] = file_read.ok_value.text
    return Ok(Snapshot(manifest=manifest, files_by_sha256=texts))
