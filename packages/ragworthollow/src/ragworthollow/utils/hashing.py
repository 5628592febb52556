"""Hash secrets and rank candidates."""

import hashlib

import xxhash


def hash_secret(secret: str) -> str:
    """
    Hash a caller's or an operator's key for comparison and storage.

    Keys are long random strings, so that a fast hash without salt is safe.

    Parameters
    ----------
    secret : str
        The key in the clear.

    Returns
    -------
    str
        SHA-256 in hexadecimal.
    """
    return hashlib.sha256(secret.encode()).hexdigest()


def get_rank(subject: str, candidate: str) -> int:
    """
    Return the rendezvous rank of a candidate for a subject.

    Parameters
    ----------
    subject : str
        What is being placed.
    candidate : str
        Where it may be placed.

    Returns
    -------
    int
        64-bit rank; the highest candidate wins.
    """
    return xxhash.xxh64_intdigest(f'{subject}\x00{candidate}'.encode())
