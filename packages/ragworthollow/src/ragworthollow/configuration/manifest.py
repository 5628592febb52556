"""Define the manifest, the record that selects the active files."""

from ragworthollow.configuration.change_record import ChangeRecord
from ragworthollow.configuration.file_entry import FileEntry
from ragworthollow.utils.message import Message


class Manifest(Message):
    """
    List every file of one generation.

    Attributes
    ----------
    generation : int
        Incremented by each accepted change; 0 before the first.
    files : tuple of FileEntry
        Entries sorted by file name.
    history : tuple of ChangeRecord
        Most recent changes, newest first; its length is limited.
    """

    generation: int = 0
    files: tuple[FileEntry, ...] = ()
    history: tuple[ChangeRecord, ...] = ()

    def get_hashes(self) -> dict[str, str]:
        """Return the SHA-256 of each file by file name."""
        return {entry.name: entry.sha256 for entry in self.files}
