"""Hash secrets and rank candidates by rendezvous hashing."""

import hashlib

import xxhash

_RANK_BITS = 64
_FRACTION_BITS = 53


def hash_secret(secret: str) -> str:
    """
    Hash a caller's or an operator's key for comparison and storage.

    Keys are long random strings, so a fast hash without a salt is safe.

    Parameters
    ----------
    secret : str
        Key in plain text.

    Returns
    -------
    str
        SHA-256 in hexadecimal.
    """
    return hashlib.sha256(secret.encode()).hexdigest()


def get_rank(subject: str, candidate: str) -> int:
    """
    Return the rendezvous hashing rank of a candidate for a subject.

    Parameters
    ----------
    subject : str
        Name of the item to place.
    candidate : str
        Name of a possible location.

    Returns
    -------
    int
        64-bit rank; the candidate of the highest rank is selected.
    """
    return xxhash.xxh64_intdigest(f'{subject}\x00{candidate}'.encode())


def get_fraction(subject: str, salt: str) -> float:
    """
    Return a number from 0 to below 1 that follows from a text.

    Parameters
    ----------
    subject : str
        The text.
    salt : str
        Makes independent numbers of one text.
    """
    # All bits fit into a float, so that the result cannot round to one.
    bits = get_rank(subject, salt) >> (_RANK_BITS - _FRACTION_BITS)
    return bits / 2**_FRACTION_BITS
