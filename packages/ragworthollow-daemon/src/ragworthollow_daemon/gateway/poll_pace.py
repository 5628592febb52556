"""Decide when the store is asked again."""

import asyncio
from collections.abc import Awaitable, Callable

from ragworthollow.conf import global_settings

_DOUBLINGS = 3
_MILLISECONDS = 1000


async def poll_forever(
    poll: Callable[[], Awaitable[bool]],
    interval_ms: float,
) -> None:
    """
    Poll until cancelled.

    The first failure is followed by another try at once, since a call that
    was lost right before a change would delay that change by a whole
    interval; further ones back off, since refused calls are counted too.

    Parameters
    ----------
    poll : callable
        Asks once and tells whether the store answered.
    interval_ms : float
        Time between the beginnings of polls that are answered.  An answer
        may take seconds to come; a pause after it would delay a change by
        both.
    """
    loop = asyncio.get_running_loop()
    failures = 0
    while True:
        began_s = loop.time()
        has_answered = await poll()
        failures = 0 if has_answered else failures + 1
        took_ms = (loop.time() - began_s) * _MILLISECONDS
        pause_ms = max(0, interval_ms - took_ms)
        if failures:
            doublings = min(failures - 1, _DOUBLINGS)
            pause_ms = global_settings.STORE_RETRY_MS * 2**doublings
        await asyncio.sleep(pause_ms / _MILLISECONDS)
