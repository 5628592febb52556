"""Define a generation together with the contents of its files."""

import hashlib

from ragworthollow.configuration.manifest import Manifest
from ragworthollow.utils.message import Message


class Snapshot(Message):
    """
    Carry a whole generation, or the part of it that a peer lacks.

    Attributes
    ----------
    manifest : Manifest
        What is in force.
    files_by_sha256 : dict
        Texts of files; those that the asker already holds may be left out.
    """

    manifest: Manifest = Manifest()
    files_by_sha256: dict[str, str] = {}


def hash_text(text: str) -> str:
    """
    Hash the text of a configuration file.

    Parameters
    ----------
    text : str
        The file, decoded.

    Returns
    -------
    str
        SHA-256 of its UTF-8 bytes in hexadecimal.
    """
    return hashlib.sha256(text.encode()).hexdigest()
