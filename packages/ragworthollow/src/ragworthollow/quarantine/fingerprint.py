"""Identify requests that are sent repeatedly."""

import hashlib
from collections.abc import Iterable

from ragworthollow.conf import global_settings

# Distinguishes the fingerprints of prompt parts from those of requests.
PART_PREFIX = 'part-'
# Distinguishes keys of data from the identifiers of prompt parts.
_KEY_PREFIX = 'key/'
_DIGEST_BYTES = 16
_LENGTH_BYTES = 8


def make_fingerprint(
    *,
    organisation: str,
    method: str,
    host: str,
    target: str,
    body: bytes,
) -> str:
    """
    Return a digest that is equal for requests that cause the same work.

    Headers are excluded: identifiers, time limits and the event after which a
    stream resumes differ between attempts.  The organisation is included, so
    that no organisation can make another's requests be mistaken for its own;
    the digest is cryptographic for the same reason.

    Parameters
    ----------
    organisation : str
        Organisation that sends the request; empty for a public route.
    method, host, target : str
        Method, host and target of the request; the target includes the query.
    body : bytes
        Complete body.

    Returns
    -------
    str
        Digest in hexadecimal.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    head = (organisation, method, host.lower(), target)
    for part in (*(text.encode() for text in head), body):
        digest.update(len(part).to_bytes(_LENGTH_BYTES))
        digest.update(part)
    return digest.hexdigest()


def make_part_fingerprints(parts: Iterable[str]) -> tuple[str, ...]:
    """
    Return a digest of each prompt part, in order and without repetitions.

    The organisation is excluded: a part that crashes engines does so for every
    caller.

    Parameters
    ----------
    parts : iterable of str
        Identifiers of the parts, as sent by the caller.

    Returns
    -------
    tuple of str
        Digests in hexadecimal, which differ from those of whole requests.
    """
    names = tuple(dict.fromkeys(parts))[: global_settings.MAX_TRACKED_PARTS]
    return tuple(map(_make_part_fingerprint, names))


def make_key_fingerprint(piece_key: str) -> str:
    """Return a digest of the key of the data that stages read."""
    return _make_part_fingerprint(f'{_KEY_PREFIX}{piece_key}')


def _make_part_fingerprint(part: str) -> str:
    # Headers may hold bytes that are not valid text.
    name = part.encode(errors='surrogateescape')
    digest = hashlib.blake2b(name, digest_size=_DIGEST_BYTES)
    return f'{PART_PREFIX}{digest.hexdigest()}'
