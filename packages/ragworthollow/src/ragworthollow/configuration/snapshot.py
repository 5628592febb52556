"""Define a snapshot of one generation with its file contents."""

import hashlib

from ragworthollow.configuration.manifest import Manifest
from ragworthollow.utils.message import Message


class Snapshot(Message):
    """
    Carry a full generation, or the part of it that a peer is missing.

    Attributes
    ----------
    manifest : Manifest
        Manifest of the generation.
    files_by_sha256 : dict
        File contents by hash; files that the requester already has may be
        omitted.
    """

    manifest: Manifest = Manifest()
    files_by_sha256: dict[str, str] = {}


def hash_text(text: str) -> str:
    """
    Hash the text of a configuration file.

    Parameters
    ----------
    text : str
        Decoded content of the file.

    Returns
    -------
    str
        SHA-256 of the UTF-8 encoded text, in hexadecimal.
    """
    return hashlib.sha256(text.encode()).hexdigest()
