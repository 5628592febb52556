"""Check the head of a response as it was received (RFC 9112)."""

import re
from dataclasses import dataclass
from http import HTTPStatus

from ragworthollow.transport.body_framing import BodyFraming
from ragworthollow.transport.malformed_response_error import (
    MalformedResponseError,
)

# Control characters are allowed in no text of a head.
_STATUS_LINE = re.compile(
    rb'HTTP/1\.([01]) ([1-5][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*+)?+\r\n'
)
_FIELD_LINES = re.compile(
    rb"(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]++:[\t\x20-\x7e\x80-\xff]*+\r\n)*+\r\n"
)
_FRAMING_FIELD = re.compile(
    rb'\n(transfer-encoding|content-length):[ \t]*+([^\r]*+)', re.IGNORECASE
)
# The parsers of the library disagree on blanks behind the coding.
_CHUNKED = b'chunked'
_MINOR_VERSION_WITHOUT_CHUNKS = b'0'
_LENGTH = re.compile(rb'([0-9]{1,18})[ \t]*+')
_FIRST_FINAL_STATUS = 200


@dataclass(frozen=True, kw_only=True, slots=True)
class ResponseHead:
    """
    Describe the head of a response.

    Attributes
    ----------
    status : int
        Status code, from 100 to 599 but never 101.
    framing : BodyFraming
        What marks the end of its body.
    length : int
        Length of its body in bytes; 0 unless the framing is `length`.
    received : bytes
        The head as received, with the empty line at its end.
    """

    status: int
    framing: BodyFraming
    length: int
    received: bytes

    def find_field(self, name: str) -> str:
        """Return the text of the first field with a name; empty if none."""
        match = re.search(
            rb'\n%s:[ \t]*+([^\r]*+)' % re.escape(name).encode(),
            self.received,
            re.IGNORECASE,
        )
        if match is None:
            return ''
        return match.group(1).rstrip(b' \t').decode(errors='surrogateescape')

    def is_interim(self) -> bool:
        """Return whether it only announces a response."""
        return self.status < _FIRST_FINAL_STATUS

    def has_no_body(self) -> bool:
        """Return whether responses with its status never have a body."""
        return self.is_interim() or self.status in {
            HTTPStatus.NO_CONTENT,
            HTTPStatus.NOT_MODIFIED,
        }


def read_response_head(received: bytes) -> ResponseHead:
    """
    Read a complete head.

    The parsers of the HTTP library accept heads of responses that are
    malformed, and differ in what they make of them: they skip lines, or ignore
    a field that marks the end of the body.

    Parameters
    ----------
    received : bytes
        The head as received, with the empty line at its end.

    Raises
    ------
    MalformedResponseError
        If it is not the head of a response to an ordinary request, or does not
        tell unambiguously where its body ends.
    """
    status_line = _STATUS_LINE.match(received)
    if status_line is None:
        raise MalformedResponseError('malformed status line')
    if not _FIELD_LINES.fullmatch(received, status_line.end()):
        raise MalformedResponseError('malformed field line')
    framing, length = _read_framing(received)
    head = ResponseHead(
        status=int(status_line.group(2)),
        framing=framing,
        length=length,
        received=received,
    )
    _check_status(head, minor_version=status_line.group(1))
    return head


def _check_status(head: ResponseHead, minor_version: bytes) -> None:
    """Raise an error if a head has fields that its status line rules out."""
    if head.status == HTTPStatus.SWITCHING_PROTOCOLS:
        raise MalformedResponseError('switch of protocols')
    is_chunked = head.framing is BodyFraming.chunked
    if is_chunked and minor_version == _MINOR_VERSION_WITHOUT_CHUNKS:
        raise MalformedResponseError('chunks in a response of HTTP/1.0')
    # A response 304 has the framing of the response that it stands for.
    may_have_framing = (
        head.status == HTTPStatus.NOT_MODIFIED or not head.has_no_body()
    )
    if not may_have_framing and (is_chunked or head.length):
        raise MalformedResponseError(f'a body with status {head.status}')


def _read_framing(received: bytes) -> tuple[BodyFraming, int]:
    fields = _FRAMING_FIELD.findall(received)
    if not fields:
        return BodyFraming.connection, 0
    if len(fields) > 1:
        raise MalformedResponseError('several fields that frame a body')
    name, text = fields[0]
    if name.lower() == b'transfer-encoding':
        if text.lower() != _CHUNKED:
            raise MalformedResponseError('unknown transfer coding')
        return BodyFraming.chunked, 0
    length = _LENGTH.fullmatch(text)
    if length is None:
        raise MalformedResponseError('malformed length')
    return BodyFraming.length, int(length.group(1))
