"""Define one file of the configuration as the manifest lists it."""

from ragworthollow.utils.message import Message


class FileEntry(Message):
    """
    List one file.

    Attributes
    ----------
    name : str
        File name; files merge in the order of their names.
    owner : str
        Operator who alone may change it.
    sha256 : str
        Hash of its bytes, under which its content is stored.
    generation : int
        Generation in which it last changed.
    """

    name: str
    owner: str
    sha256: str
    generation: int
