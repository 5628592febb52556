"""Hold the configuration in force in this process."""

from collections.abc import Callable

import msgspec
from result import Err, Ok, Result

from ragworthollow.admission.capacity_share import CapacityShare, get_shares
from ragworthollow.checks.report import has_errors
from ragworthollow.configuration.checks import check_files
from ragworthollow.configuration.deployment import Deployment
from ragworthollow.configuration.exceptions import ConfigurationError
from ragworthollow.configuration.manifest import Manifest
from ragworthollow.configuration.merge import SourceFile
from ragworthollow.configuration.parse_memory import ParseMemory
from ragworthollow.configuration.snapshot import Snapshot, hash_text
from ragworthollow.outcomes import Reason

Listener = Callable[[], None]


class ConfigurationStore:
    """
    Keep one generation and replace it only by a higher valid one.

    Parameters
    ----------
    instance : str
        Name of this process, for errors.
    """

    def __init__(self, *, instance: str) -> None:
        self._instance = instance
        self.manifest = Manifest()
        self.texts: dict[str, str] = {}
        self.memory = ParseMemory()
        self.deployment = Deployment()
        self.shares: dict[str, CapacityShare] = {}
        self._organisations_by_key: dict[str, str] = {}
        self._listeners: list[Listener] = []

    @property
    def generation(self) -> int:
        """Return the generation in force; 0 before the first."""
        return self.manifest.generation

    def listen(self, listener: Listener) -> None:
        """Call a function after each change."""
        self._listeners.append(listener)

    def get_organisation(self, key_sha256: str) -> str | None:
        """Return the organisation that a hashed key belongs to."""
        return self._organisations_by_key.get(key_sha256)

    def get_missing(self, manifest: Manifest) -> list[str]:
        """Return the hashes of files that are not held here."""
        return [
            entry.sha256
            for entry in manifest.files
            if entry.sha256 not in self.texts
        ]

    def get_snapshot(self, have: int) -> Snapshot:
        """
        Return what a process lacks that holds an earlier generation.

        Parameters
        ----------
        have : int
            Its generation; 0 for everything.

        Returns
        -------
        Snapshot
            The manifest and the files changed since.
        """
        return Snapshot(
            manifest=self.manifest,
            files_by_sha256={
                entry.sha256: self.texts[entry.sha256]
                for entry in self.manifest.files
                if entry.generation > have
            },
        )

    def apply(self, snapshot: Snapshot) -> Result[bool, ConfigurationError]:
        """
        Put a snapshot in force.

        Parameters
        ----------
        snapshot : Snapshot
            From the platform or a peer.

        Returns
        -------
        Result
            False when it is not newer, an error when it is not valid; in
            both cases what was in force stays.
        """
        if snapshot.manifest.generation <= self.generation:
            return Ok(False)
        texts = {**self.texts, **snapshot.files_by_sha256}
        missing = _find_missing(snapshot.manifest, texts)
        if missing:
            return Err(self._explain(f'{missing} is missing or damaged'))
        files = [
            SourceFile(name=entry.name, text=texts[entry.sha256])
            for entry in snapshot.manifest.files
        ]
        merged = check_files(files, self.memory.parse)
        if has_errors(merged.problems):
            return Err(self._explain(str(merged.problems[0])))
        kept = {entry.sha256 for entry in snapshot.manifest.files}
        self.manifest = snapshot.manifest
        self.texts = {key: texts[key] for key in kept}
        self.memory.keep_only(set(files))
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

    def _explain(self, detail: str) -> ConfigurationError:
        return ConfigurationError(
            reason=Reason.invalid_configuration,
            step='configuration',
            peer=self._instance,
            detail=detail,
        )


def _find_missing(manifest: Manifest, texts: dict[str, str]) -> str:
    for entry in manifest.files:
        text = texts.get(entry.sha256)
        if text is None or hash_text(text) != entry.sha256:
            return entry.name
    return ''


def encode_manifest(manifest: Manifest) -> str:
    """Encode the manifest for the platform."""
    return msgspec.json.encode(manifest).decode()


def decode_manifest(text: str) -> Manifest:
    """
    Decode the manifest as stored.

    Raises
    ------
    msgspec.DecodeError
        The record is damaged.
    """
    if not text:
        return Manifest()
    return msgspec.json.decode(text, type=Manifest)
