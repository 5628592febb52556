"""Identify requests that are sent repeatedly."""

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
