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
        Pause after an answer.
    """
    failures = 0
    while True:
        has_answered = await poll()
        failures = 0 if has_answered else failures + 1
        pause_ms = interval_ms
        if failures:
            doublings = min(failures - 1, _DOUBLINGS)
            pause_ms = global_settings.STORE_RETRY_MS * 2**doublings
        await asyncio.sleep(pause_ms / _MILLISECONDS)
