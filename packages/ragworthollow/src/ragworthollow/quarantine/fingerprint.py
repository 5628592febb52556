"""Recognise a request that is sent again."""

import hashlib

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
    Digest what makes two requests of callers the same work.

    The headers are left out: identifiers, time limits and the event after
    which a stream goes on differ from one try to the next.  The organisation
    is part of it, so that no organisation can have another's requests taken
    for its own; the digest is cryptographic for the same reason.

    Parameters
    ----------
    organisation : str
        Who sends the request; empty for a public route.
    method, host, target : str
        Of the request line and its host; the target includes the query.
    body : bytes
        Whole body.

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
