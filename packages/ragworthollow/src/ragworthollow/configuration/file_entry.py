"""Define the manifest entry of a configuration file."""

from ragworthollow.utils.message import Message


class FileEntry(Message):
    """
    Describe one configuration file.

    Attributes
    ----------
    name : str
        File name; files are merged in the order of their names.
    owner : str
        Only operator who may change the file.
    sha256 : str
        SHA-256 of the content, which is also the storage key.
    generation : int
        Generation in which the file last changed.
    """

    name: str
    owner: str
    sha256: str
    generation: int
