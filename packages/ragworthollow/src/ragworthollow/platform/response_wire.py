"""Decode the headers of an upstream's response."""

import re
from collections.abc import Mapping

from multidict import CIMultiDict, CIMultiDictProxy

from ragworthollow.exchange import ResponseMetadata
from ragworthollow.platform.request_wire import REQUEST_ID_HEADER
from ragworthollow.upstreams import InstanceLoad
from ragworthollow.utils import parse_count, parse_decimal

_RESPONSE_SIGNATURE = 'X-Ragworthollow-Response-Signature'
_NOT_EXECUTED = 'X-Ragworthollow-Not-Executed'
_LOAD = 'X-Ragworthollow-Server-Load'
_INSTANCE = 'X-Ragworthollow-Instance-Id'
_LEAVING = 'Server-Leaving'
_RETRY_AFTER = 'Retry-After'
_WARM_UP_MS = 'X-Ragworthollow-Cold-Ms'
_LIMIT = 'Server-Limit'
_MISDIRECTED = 421
_UNAVAILABLE = 503
_MILLISECONDS = 1000
_LOAD_FIELDS = 4
_PERCENT = 100
# Not allowed in the values of headers (RFC 9110, 5.5).
_CONTROL_CHARACTERS = re.compile(r'[\x00-\x08\x0a-\x1f\x7f]')

_NOT_FORWARDED = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'date',
        'server',
        _LOAD.lower(),
        _INSTANCE.lower(),
        _WARM_UP_MS.lower(),
    )
)


def read_response_metadata(
    status: int, headers: Mapping[str, str]
) -> ResponseMetadata:
    """
    Decode the metadata of a response from its headers.

    Parameters
    ----------
    status : int
        Status of the response; 421 proves that the request did not run.
    headers : mapping of str to str
        Headers as received.
    """
    limit_per_s, unreadable_limit = _read_limit(headers)
    return ResponseMetadata(
        request_id=headers.get(REQUEST_ID_HEADER, ''),
        is_signed=_RESPONSE_SIGNATURE in headers,
        is_not_run=_NOT_EXECUTED in headers or status == _MISDIRECTED,
        is_misdirected=status == _MISDIRECTED,
        is_valid=not any(map(_CONTROL_CHARACTERS.search, headers.values())),
        load=read_load(headers),
        is_leaving=headers.get(_LEAVING, '').strip() == '1',
        pause_ms=_read_pause_ms(status, headers),
        warm_up_remaining_ms=_read_warm_up_ms(headers),
        limit_per_s=limit_per_s,
        unreadable_limit=unreadable_limit,
    )


def read_load(headers: Mapping[str, str]) -> InstanceLoad | None:
    """
    Decode a load report, `running,waiting,slots,work time in percent`.

    Later software adds figures at the end, earlier software sends fewer: each
    figure is decoded by itself.

    Returns
    -------
    InstanceLoad or None
        The figures that are readable; None if there are none.
    """
    texts = headers.get(_LOAD, '').split(',')[:_LOAD_FIELDS]
    missing = [None for _ in range(_LOAD_FIELDS - len(texts))]
    running, waiting, slots, percent = [*map(parse_count, texts), *missing]
    load = InstanceLoad(
        running=running,
        waiting=waiting,
        slots=slots or None,
        work_time_ratio=percent / _PERCENT if percent else None,
    )
    return None if load == InstanceLoad() else load


def _read_pause_ms(status: int, headers: Mapping[str, str]) -> float | None:
    """Decode the back-off time of a refusal; None if it has none."""
    if status != _UNAVAILABLE:
        return None
    pause_s = parse_decimal(headers.get(_RETRY_AFTER, ''))
    if pause_s is None or pause_s <= 0:
        return None
    return pause_s * _MILLISECONDS


def _read_warm_up_ms(headers: Mapping[str, str]) -> float:
    """Decode the remaining warm-up time; 0 if the header is absent."""
    return max(0, parse_decimal(headers.get(_WARM_UP_MS, '')) or 0)


def _read_limit(headers: Mapping[str, str]) -> tuple[float | None, str]:
    """
    Decode the advertised limit of an upstream, in requests per second.

    Returns
    -------
    tuple
        The lowest valid limit, or None; and the text of the header if any part
        of it is invalid, otherwise an empty string.
    """
    texts = _get_all(headers, _LIMIT)
    limits = [limit for limit in map(_parse_limit, texts) if limit is not None]
    is_readable = len(limits) == len(texts)
    return min(limits, default=None), '' if is_readable else ', '.join(texts)


def _get_all(headers: Mapping[str, str], name: str) -> list[str]:
    """Return the values of a header that may occur several times."""
    if isinstance(headers, CIMultiDict | CIMultiDictProxy):
        fields = headers.getall(name, [])
    else:
        fields = [headers[name]] if name in headers else []
    return [text.strip() for field in fields for text in field.split(',')]


def _parse_limit(text: str) -> float | None:
    limit_per_s = parse_decimal(text)
    is_rate = limit_per_s is not None and limit_per_s >= 0
    return limit_per_s if is_rate else None


def make_caller_headers(
    received: CIMultiDictProxy[str],
) -> CIMultiDict[str]:
    """Make the headers of the response to the caller, signature included."""
    return CIMultiDict(
        (name, _drop_undecodable(text))
        for name, text in received.items()
        if name.lower() not in _NOT_FORWARDED
    )


def _drop_undecodable(text: str) -> str:
    """
    Drop bytes that are not UTF-8.

    The compiled writer of the HTTP library drops them too; the one in Python
    raises an error, after which the caller would get no response.
    """
    if text.isascii():
        return text
    return text.encode(errors='ignore').decode()
