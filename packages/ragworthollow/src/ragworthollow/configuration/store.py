"""Hold the active configuration of this process."""

from collections.abc import Callable

import msgspec
from result import Err, Ok, Result

from ragworthollow.admission.capacity_share import CapacityShare, get_shares
from ragworthollow.checks.report import has_errors
from ragworthollow.configuration.checks import check_files
from ragworthollow.configuration.deployment import Deployment
from ragworthollow.configuration.exceptions import ConfigurationError
from ragworthollow.configuration.keys import MANIFEST_KEY
from ragworthollow.configuration.manifest import Manifest
from ragworthollow.configuration.merge import SourceFile
from ragworthollow.configuration.parse_cache import ParseCache
from ragworthollow.configuration.snapshot import Snapshot, hash_text
from ragworthollow.logs.events import log_error
from ragworthollow.outcomes import Reason
from ragworthollow.platform import PlatformError
from ragworthollow.utils import decode_json, get_wall_ms

Listener = Callable[[], None]

_MAX_ERROR_CHARACTERS = 200


class ConfigurationStore:
    """
    Hold one generation; only a newer valid generation replaces it.

    Parameters
    ----------
    instance : str
        Name of this process, used in errors.
    """

    def __init__(self, *, instance: str) -> None:
        self._instance = instance
        self.manifest = Manifest()
        self.texts: dict[str, str] = {}
        self.parse_cache = ParseCache()
        self.deployment = Deployment()
        self.shares: dict[str, CapacityShare] = {}
        self._organisations_by_key: dict[str, str] = {}
        self._listeners: list[Listener] = []

    @property
    def generation(self) -> int:
        """Return the active generation; 0 before the first."""
        return self.manifest.generation

    def add_listener(self, listener: Listener) -> None:
        """Register a function to call after each change."""
        self._listeners.append(listener)

    def get_organisation(self, key_sha256: str) -> str | None:
        """Return the organisation that owns a hashed key, if any."""
        return self._organisations_by_key.get(key_sha256)

    def get_missing_hashes(self, manifest: Manifest) -> list[str]:
        """Return the hashes of the files that are not stored here."""
        return [
            entry.sha256
            for entry in manifest.files
            if entry.sha256 not in self.texts
        ]

    def get_snapshot(self, known_generation: int) -> Snapshot:
        """
        Return what a process with an older generation is missing.

        Parameters
        ----------
        known_generation : int
            Generation of that process; 0 for a full snapshot.

        Returns
        -------
        Snapshot
            Manifest and the files that changed after that generation.
        """
        return Snapshot(
            manifest=self.manifest,
            files_by_sha256={
                entry.sha256: self.texts[entry.sha256]
                for entry in self.manifest.files
                if entry.generation > known_generation
            },
        )

    def apply(self, snapshot: Snapshot) -> Result[bool, ConfigurationError]:
        """
        Replace the active generation by that of a snapshot.

        Parameters
        ----------
        snapshot : Snapshot
            Snapshot received from the platform or a peer.

        Returns
        -------
        Result
            True when it was applied, False when it is not newer, an error
            when it is not valid; in the last two cases the active
            generation stays.
        """
        if snapshot.manifest.generation <= self.generation:
            return Ok(False)
        texts = {**self.texts, **snapshot.files_by_sha256}
        invalid_file = _find_invalid_file(snapshot.manifest, texts)
        if invalid_file:
            return Err(
                self._make_error(f'{invalid_file} is missing or damaged'),
            )
        files = [
            SourceFile(name=entry.name, text=texts[entry.sha256])
            for entry in snapshot.manifest.files
        ]
        merged = check_files(files, self.parse_cache.parse)
        if has_errors(merged.problems):
            return Err(self._make_error(str(merged.problems[0])))
        needed_hashes = {entry.sha256 for entry in snapshot.manifest.files}
        self.manifest = snapshot.manifest
        self.texts = {key: texts[key] for key in needed_hashes}
        self.parse_cache.retain_only(set(files))
        self._index(merged.deployment)
        for listener in self._listeners:
            listener()
        return Ok(True)

    def _index(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.shares = get_shares(deployment.organisations)
        self._organisations_by_key = {
            key: name
            for name, organisation in deployment.organisations.items()
            for key in organisation.key_sha256
        }

    def _make_error(self, detail: str) -> ConfigurationError:
        return ConfigurationError(
            reason=Reason.invalid_configuration,
            step='configuration',
            peer=self._instance,
            detail=detail,
        )


def _find_invalid_file(manifest: Manifest, texts: dict[str, str]) -> str:
    for entry in manifest.files:
        text = texts.get(entry.sha256)
        if text is None or hash_text(text) != entry.sha256:
            return entry.name
    return ''


def encode_manifest(manifest: Manifest) -> str:
    """Encode the manifest for storage on the platform."""
    return msgspec.json.encode(manifest).decode()


def decode_manifest(text: str) -> Result[Manifest, PlatformError]:
    """
    Decode a stored manifest; an empty text gives an empty manifest.

    Returns
    -------
    Result
        The manifest, or an error if the record is not valid, which is logged.
    """
    if not text:
        return Ok(Manifest())
    try:
        manifest = decode_json(text, Manifest)
    except msgspec.DecodeError as error:
        return _reject_manifest(str(error))
    generation = manifest.generation
    # Changes are more than a millisecond apart.
    if not 0 < generation < get_wall_ms():
        return _reject_manifest(f'generation {generation}')
    if not manifest.history or manifest.history[0].generation != generation:
        return _reject_manifest('its last change made another generation')
    if any(entry.generation > generation for entry in manifest.files):
        return _reject_manifest('a file of a later generation')
    return Ok(manifest)


def _reject_manifest(error: str) -> Err[PlatformError]:
    log_error(
        'manifest_unreadable',
        step='configuration',
        peer=MANIFEST_KEY,
        error=error[:_MAX_ERROR_CHARACTERS],
    )
    return Err(
        PlatformError(
            step=MANIFEST_KEY,
            peer=MANIFEST_KEY,
            detail='the stored manifest cannot be read',
            may_have_applied=False,
        )
    )
