"""Keep all loads together within the rate of the weight store."""

import msgspec
from result import Err, Ok, Result

from ragworthollow.platform import PlatformError, StoreClient
from ragworthollow.platform.transaction import Put, compare_with
from ragworthollow.utils.message import Message

_KEY = 'weights/budget'
_WINDOW_MS = 60_000


class LoadWindow(Message):
    """
    Count the loads of one window.

    Attributes
    ----------
    started_ms : int
        Start of the window, Unix epoch.
    used : int
        Loads begun since.
    """

    started_ms: int = 0
    used: int = 0


def use_one(window: LoadWindow, limit: int, now_ms: float) -> LoadWindow | None:
    """
    Use one load of a window.

    Parameters
    ----------
    window : LoadWindow
        As stored.
    limit : int
        Loads allowed within a minute.
    now_ms : float
        Unix time.

    Returns
    -------
    LoadWindow or None
        What to store, or None when nothing is left.
    """
    if now_ms - window.started_ms >= _WINDOW_MS:
        return LoadWindow(started_ms=int(now_ms), used=1)
    if window.used >= limit:
        return None
    return msgspec.structs.replace(window, used=window.used + 1)


async def take_load(
    key_value: StoreClient,
    limit: int,
    now_ms: float,
) -> Result[bool, PlatformError]:
    """
    Take one load out of the budget that all sidecars share.

    Parameters
    ----------
    key_value : StoreClient
        The platform's service, which keeps the budget.
    limit : int
        Loads allowed within a minute.
    now_ms : float
        Unix time.

    Returns
    -------
    Result
        False when nothing is left or another sidecar was faster; a lost
        answer counts as used, never as free.
    """
    found = await key_value.read(_KEY)
    if isinstance(found, Err):
        return found
    stored = found.ok_value
    window = LoadWindow()
    if stored.text:
        window = msgspec.json.decode(stored.text, type=LoadWindow)
    after = use_one(window, limit, now_ms)
    if after is None:
        return Ok(False)
    return await key_value.commit(
        compares=[compare_with(_KEY, stored)],
        puts=[Put(key=_KEY, text=msgspec.json.encode(after).decode())],
    )
