"""Read a generation from the platform."""

from result import Err, Ok, Result

from ragworthollow.configuration.keys import MANIFEST_KEY, get_file_key
from ragworthollow.configuration.manifest import Manifest
from ragworthollow.configuration.snapshot import Snapshot
from ragworthollow.configuration.store import (
    ConfigurationStore,
    decode_manifest,
)
from ragworthollow.platform import PlatformError, StoreClient, Stored


async def read_newer(
    key_value: StoreClient,
    store: ConfigurationStore,
) -> Result[Stored, PlatformError]:
    """
    Read the manifest and put it in force if it is newer.

    Parameters
    ----------
    key_value : StoreClient
        The platform's service.
    store : ConfigurationStore
        Where it goes; files it already holds are not read again.

    Returns
    -------
    Result
        The manifest's key as stored, or the platform's failure.
    """
    found = await key_value.read(MANIFEST_KEY)
    if isinstance(found, Err):
        return found
    manifest = decode_manifest(found.ok_value.text)
    if manifest.generation > store.generation:
        read = await read_files(key_value, store, manifest)
        if isinstance(read, Err):
            return read
        store.apply(read.ok_value)
    return found


async def read_files(
    key_value: StoreClient,
    store: ConfigurationStore,
    manifest: Manifest,
) -> Result[Snapshot, PlatformError]:
    """
    Read the texts of a manifest that are not held here.

    Returns
    -------
    Result
        A snapshot that can be applied, or the platform's failure.
    """
    texts: dict[str, str] = {}
    for sha256 in store.get_missing(manifest):
        found = await key_value.read(get_file_key(sha256))
        if isinstance(found, Err):
            return found
        texts[sha256] = found.ok_value.text
    return Ok(Snapshot(manifest=manifest, files_by_sha256=texts))
