"""Define the manifest, the one record that decides what is in force."""

from ragworthollow.configuration.change_record import ChangeRecord
from ragworthollow.configuration.file_entry import FileEntry
from ragworthollow.utils.message import Message


class Manifest(Message):
    """
    Name every file of one generation.

    Attributes
    ----------
    generation : int
        Grows by one with each accepted change; 0 is the empty start.
    files : tuple of FileEntry
        Sorted by name.
    history : tuple of ChangeRecord
        Newest first, of bounded length.
    """

    generation: int = 0
    files: tuple[FileEntry, ...] = ()
    history: tuple[ChangeRecord, ...] = ()

    def get_hashes(self) -> dict[str, str]:
        """Return the hash of each file by its name."""
        return {entry.name: entry.sha256 for entry in self.files}
