"""Decode the headers of callers and encode those for upstreams."""

from collections.abc import Mapping

from multidict import CIMultiDict, CIMultiDictProxy

from ragworthollow.conf import global_settings
from ragworthollow.exchange import (
    AttemptMetadata,
    PromptPart,
    RequestParameters,
)
from ragworthollow.utils import parse_count, parse_decimal

READY_PATH = '/api/ready'
REQUEST_ID_HEADER = 'X-Ragworthollow-Request-Id'

_DEADLINE = 'X-Ragworthollow-Deadline-Ms'
_PREFIX = 'X-Ragworthollow-Prefix-Hash'
_TOKENS = 'X-Ragworthollow-Token-Usage'
_PIECES = 'X-Ragworthollow-Pieces'
_PIECE_KEY = 'X-Ragworthollow-Piece-Key'
_LAST_EVENT = 'Last-Event-Id'
_RESUMES = 'Resumes'
_EXPECT_INSTANCE = 'X-Ragworthollow-Expect-Instance'
_TENANT = 'X-Ragworthollow-Tenant'
_PRIORITY = 'X-Ragworthollow-Request-Priority'
_INPUTS = 'X-Ragworthollow-Inputs'
_SCHEME = 'bearer '
_PAIR = 2

# Hop-by-hop headers, and headers that only this system may set: a caller that
# forged one of these could run requests in the name of another organisation, or
# hold and move engine memory that it does not own.
_NOT_FORWARDED = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
        'content-length',
        'authorization',
        'kv-from',
        'kv-fetch',
        'wait-ms',
        _DEADLINE.lower(),
        _LAST_EVENT.lower(),
        _EXPECT_INSTANCE.lower(),
        _TENANT.lower(),
        _PRIORITY.lower(),
        _INPUTS.lower(),
        'x-ragworthollow-expect-version',
        'x-ragworthollow-hold',
        'x-ragworthollow-pin-ms',
        'x-ragworthollow-kv-backup',
        'x-ragworthollow-instance-id',
        'x-ragworthollow-server-load',
        'x-ragworthollow-response-signature',
        'x-ragworthollow-not-executed',
    )
)


def read_request_id(headers: Mapping[str, str]) -> str:
    """Return the identifier that the caller chose; empty if there is none."""
    return headers.get(REQUEST_ID_HEADER, '')


def read_request_parameters(headers: Mapping[str, str]) -> RequestParameters:
    """
    Decode the headers that determine how a request is served.

    An invalid header counts as absent: validating it is left to the upstream.

    Parameters
    ----------
    headers : mapping of str to str
        Headers as received.
    """
    prompt_tokens, output_tokens = _read_pair(headers.get(_TOKENS, ''))
    return RequestParameters(
        request_id=read_request_id(headers),
        key=_read_key(headers.get('Authorization', '')),
        time_limit_ms=parse_decimal(headers.get(_DEADLINE, '')),
        prompt_parts=_read_parts(headers.get(_PREFIX, '')),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        piece_counts=_read_counts(headers.get(_PIECES, '')),
        piece_key=headers.get(_PIECE_KEY, ''),
        last_event_id=headers.get(_LAST_EVENT, ''),
        resumes_request_id=headers.get(_RESUMES, ''),
    )


def make_upstream_headers(
    received: CIMultiDictProxy[str],
    metadata: AttemptMetadata,
) -> CIMultiDict[str]:
    """
    Make the request headers of one attempt.

    Parameters
    ----------
    received : CIMultiDictProxy
        The caller's headers.
    metadata : AttemptMetadata
        Values that are specific to this attempt.
    """
    connection_options = {
        name.strip().lower()
        for line in received.getall('Connection', ())
        for name in line.split(',')
    }
    headers = CIMultiDict(
        (name, text)
        for name, text in received.items()
        if name.lower() not in _NOT_FORWARDED
        and name.lower() not in connection_options
    )
    headers[_DEADLINE] = str(max(1, int(metadata.time_limit_ms)))
    headers[_EXPECT_INSTANCE] = metadata.instance
    _set_if_present(headers, _TENANT, metadata.organisation)
    _set_if_present(headers, _INPUTS, ','.join(metadata.inputs))
    _set_if_present(headers, _LAST_EVENT, metadata.last_event_id)
    if metadata.priority is not None:
        headers[_PRIORITY] = str(metadata.priority)
    return headers


def _set_if_present(headers: CIMultiDict[str], name: str, text: str) -> None:
    if text:
        headers[name] = text


def _read_key(text: str) -> str:
    if text.lower().startswith(_SCHEME):
        return text[len(_SCHEME) :].strip()
    return ''


def _read_pair(text: str) -> tuple[int, int]:
    """Return the first two counts of a list; later ones are ignored."""
    counts = [parse_count(field) for field in text.split(',')[:_PAIR]]
    if len(counts) < _PAIR or None in counts:
        return 0, 0
    first, second = counts
    return first, second


def _read_counts(text: str) -> tuple[int, ...]:
    counts = tuple(map(parse_count, text.split(',')))
    if None in counts or sum(counts) > global_settings.MAX_REQUEST_PIECES:
        return ()
    return counts


def _read_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for field in text.split(','):
        name, _, figures = field.strip().partition(':')
        tokens = parse_count(figures.partition(':')[0])
        if tokens is not None:
            parts.append(PromptPart(part=name, tokens=tokens))
    return tuple(parts)
