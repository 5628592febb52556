"""Recognise a response head that was joined from two."""

import re

from aiohttp.http_parser import RawResponseMessage

_STATUS_LINE = re.compile(r'HTTP/\d\.\d \d{3}')


def is_joined_head(message: RawResponseMessage) -> bool:
    """
    Return whether a status line comes within a response head.

    A peer that stops inside a head and then sends another response on the same
    connection makes one head of both: with the status and the first fields of
    the former, and the identifier and the body of the latter.

    Parameters
    ----------
    message : RawResponseMessage
        Head as parsed. A status line in the name of a field is refused by the
        parser.
    """
    texts = (message.reason or '', *message.headers.values())
    return any(map(_STATUS_LINE.search, texts))
