"""Limit the model loads of all sidecars to the weight store's rate."""

from typing import Annotated

import msgspec
from result import Err, Ok, Result

from ragworthollow.logs.events import log_error
from ragworthollow.platform import PlatformError, StoreClient, Stored
from ragworthollow.platform.transaction import Put, compare_with
from ragworthollow.utils import decode_json
from ragworthollow.utils.message import Message

_KEY = 'weights/budget'
_WINDOW_MS = 60_000
# More than any pool may load per minute.
_ALL_USED = 2**31
_MAX_ERROR_CHARACTERS = 200


class LoadWindow(Message):
    """
    Count the model loads of one time window.

    Attributes
    ----------
    started_ms : int
        Start of the window, in milliseconds since the Unix epoch.
    used : int
        Loads started in the window.
    """

    started_ms: int = 0
    used: Annotated[int, msgspec.Meta(ge=0)] = 0


def consume_load(
    window: LoadWindow,
    limit: int,
    now_ms: float,
) -> LoadWindow | None:
    """
    Consume one load of the budget, in a new window if the last is over.

    Parameters
    ----------
    window : LoadWindow
        Stored window.
    limit : int
        Maximum number of loads per minute.
    now_ms : float
        Unix time in milliseconds.

    Returns
    -------
    LoadWindow or None
        Window to store, or None when the budget is exhausted.
    """
    if now_ms - window.started_ms >= _WINDOW_MS:
        return LoadWindow(started_ms=int(now_ms), used=1)
    if window.used >= limit:
        return None
    return msgspec.structs.replace(window, used=window.used + 1)


async def try_consume_load(
    key_value: StoreClient,
    limit: int,
    now_ms: float,
) -> Result[bool, PlatformError]:
    """
    Consume one load of the budget that all sidecars share.

    Parameters
    ----------
    key_value : StoreClient
        Client of the platform's key-value store, which holds the budget.
    limit : int
        Maximum number of loads per minute.
    now_ms : float
        Unix time in milliseconds.

    Returns
    -------
    Result
        True when the load was granted, False when the budget is exhausted or
        another sidecar updated it first, or the error of the platform.  When
        the response of the write is lost, the load counts as used, never as
        free.  A window that cannot be read is replaced by an exhausted one.
    """
    budget_read = await key_value.read(_KEY)
    if isinstance(budget_read, Err):
        return budget_read
    stored = budget_read.ok_value
    window = _decode_window(stored.text, now_ms)
    if window is None:
        # Nobody knows how many loads the last minute had.
        exhausted = LoadWindow(started_ms=int(now_ms), used=_ALL_USED)
        written = await _write_window(key_value, stored, exhausted)
        return written if isinstance(written, Err) else Ok(False)
    updated = consume_load(window, limit, now_ms)
    if updated is None:
        return Ok(False)
    return await _write_window(key_value, stored, updated)


async def _write_window(
    key_value: StoreClient, stored: Stored, window: LoadWindow
) -> Result[bool, PlatformError]:
    return await key_value.commit(
        compares=[compare_with(_KEY, stored)],
        puts=[Put(key=_KEY, text=msgspec.json.encode(window).decode())],
    )


def _decode_window(text: str, now_ms: float) -> LoadWindow | None:
    """Decode a window; None for one that no sidecar can have written."""
    if not text:
        return LoadWindow()
    try:
        window = decode_json(text, LoadWindow)
    except msgspec.DecodeError as error:
        return _reject(str(error))
    if window.started_ms - now_ms > _WINDOW_MS:
        return _reject('it starts in the future')
    return window


def _reject(reason: str) -> None:
    log_error(
        'load_budget_unreadable',
        step='engine.load',
        peer=_KEY,
        error=reason[:_MAX_ERROR_CHARACTERS],
    )
