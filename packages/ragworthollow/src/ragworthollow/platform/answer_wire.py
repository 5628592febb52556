"""Decode what an upstream's answer says beside its body."""

import math
from collections.abc import Mapping

from multidict import CIMultiDict, CIMultiDictProxy

from ragworthollow.exchange import ResponseMetadata
from ragworthollow.upstreams import InstanceLoad

_ID = 'X-Ragworthollow-Request-Id'
_SIGNATURE = 'X-Ragworthollow-Response-Signature'
_NOT_RUN = 'X-Ragworthollow-Not-Executed'
_LOAD = 'X-Ragworthollow-Server-Load'
_INSTANCE = 'X-Ragworthollow-Instance-Id'
_LEAVING = 'Server-Leaving'
_PAUSE = 'Retry-After'
_WARM_UP = 'X-Ragworthollow-Cold-Ms'
_LIMIT = 'Server-Limit'
_MISDIRECTED = 421
_UNAVAILABLE = 503
_MILLISECONDS = 1000
_LOAD_FIELDS = 3

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
        _WARM_UP.lower(),
    )
)


def read_marks(status: int, headers: Mapping[str, str]) -> ResponseMetadata:
    """
    Decode the marks of an answer.

    Parameters
    ----------
    status : int
        Status of the answer; 421 proves that the request did not run.
    headers : mapping of str to str
        As received.
    """
    limit_per_s, unreadable_limit = _read_limit(headers)
    return ResponseMetadata(
        request_id=headers.get(_ID, ''),
        is_signed=_SIGNATURE in headers,
        is_not_run=_NOT_RUN in headers or status == _MISDIRECTED,
        is_misdirected=status == _MISDIRECTED,
        load=read_load(headers),
        is_leaving=headers.get(_LEAVING, '').strip() == '1',
        pause_ms=_read_pause_ms(status, headers),
        warm_up_remaining_ms=_read_warm_up_ms(headers),
        limit_per_s=limit_per_s,
        unreadable_limit=unreadable_limit,
    )


def read_load(headers: Mapping[str, str]) -> InstanceLoad | None:
    """Decode a load report, `running,waiting,slots`; None without one."""
    fields = headers.get(_LOAD, '').split(',')
    is_whole = len(fields) == _LOAD_FIELDS
    if not is_whole or not all(field.strip().isdecimal() for field in fields):
        return None
    running, waiting, slots = (int(field) for field in fields)
    return InstanceLoad(running=running, waiting=waiting, slots=slots)


def _read_pause_ms(status: int, headers: Mapping[str, str]) -> float | None:
    """Decode for how long a refusing upstream wants nothing; None if unsaid."""
    if status != _UNAVAILABLE:
        return None
    try:
        pause_ms = float(headers.get(_PAUSE, '')) * _MILLISECONDS
    except ValueError:
        return None
    return pause_ms if math.isfinite(pause_ms) and pause_ms > 0 else None


def _read_warm_up_ms(headers: Mapping[str, str]) -> float:
    """Decode how much longer an upstream warms up; 0 if unsaid."""
    try:
        left_ms = float(headers.get(_WARM_UP, ''))
    except ValueError:
        return 0
    return left_ms if math.isfinite(left_ms) and left_ms > 0 else 0


def _read_limit(headers: Mapping[str, str]) -> tuple[float | None, str]:
    """
    Decode the requests a second that an upstream takes.

    Returns
    -------
    tuple
        The lowest limit that can be read, None without one; and what stands
        there if any of it is no limit.
    """
    texts = _get_all(headers, _LIMIT)
    limits = [limit for limit in map(_parse_limit, texts) if limit is not None]
    is_readable = len(limits) == len(texts)
    return min(limits, default=None), '' if is_readable else ', '.join(texts)


def _get_all(headers: Mapping[str, str], name: str) -> list[str]:
    """Return the values of a field that may stand there several times."""
    if isinstance(headers, CIMultiDict | CIMultiDictProxy):
        fields = headers.getall(name, [])
    else:
        fields = [headers[name]] if name in headers else []
    return [text.strip() for field in fields for text in field.split(',')]


def _parse_limit(text: str) -> float | None:
    try:
        limit_per_s = float(text)
    except ValueError:
        return None
    is_rate = math.isfinite(limit_per_s) and limit_per_s >= 0
    return limit_per_s if is_rate else None


def make_caller_headers(
    received: CIMultiDictProxy[str],
) -> CIMultiDict[str]:
    """Make the headers of the answer to the caller, signature included."""
    return CIMultiDict(
        (name, text)
        for name, text in received.items()
        if name.lower() not in _NOT_FORWARDED
    )
