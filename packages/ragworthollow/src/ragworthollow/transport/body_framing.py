"""Determine how the length of a response body is known (RFC 9112, 6.3)."""

import enum
from collections.abc import Mapping


class BodyFraming(enum.StrEnum):
    """
    Describe what marks the end of a body.

    Attributes
    ----------
    length
        The length in its head.
    chunked
        Its last chunk.
    connection
        The end of its connection.
    """

    length = 'length'
    chunked = 'chunked'
    connection = 'connection'


def get_body_framing(headers: Mapping[str, str]) -> BodyFraming:
    """Return what marks the end of the body of a response."""
    if 'chunked' in headers.get('Transfer-Encoding', '').lower():
        return BodyFraming.chunked
    if headers.get('Content-Length') is not None:
        return BodyFraming.length
    return BodyFraming.connection
