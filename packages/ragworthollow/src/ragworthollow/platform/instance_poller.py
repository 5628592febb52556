"""Follow the platform's list of instances."""

import asyncio
from collections.abc import Callable

import aiohttp
import msgspec

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.platform.instance_list import InstanceList
from ragworthollow.transport.timeouts import make_silence_timeout

_MILLISECONDS = 1000
_NOT_MODIFIED = 304


class InstancePoller:
    """
    Poll the list with conditional requests.

    An unchanged list costs one small exchange; the last list stays in use
    while the platform is away.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session to call with.
    url : str
        Address of the list.
    on_change : callable
        Called with each new list.
    """

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        url: str,
        on_change: Callable[[InstanceList], None],
    ) -> None:
        self._session = session
        self._url = url
        self._on_change = on_change
        self._entity_tag = ''
        self.current = InstanceList()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(
                global_settings.INSTANCES_POLL_MS / _MILLISECONDS,
            )

    async def poll(self) -> None:
        """Ask once; a failure keeps the list that is known."""
        try:
            found = await self._fetch()
        except (
            TimeoutError,
            aiohttp.ClientError,
            msgspec.DecodeError,
        ) as error:
            log_event(
                'instance_list_unavailable',
                step='instances',
                peer=self._url,
                error=type(error).__name__,
            )
            return
        if found is None:
            return
        # A list service that has lost its memory shows an empty list; taking
        # it would leave every pool without an instance.
        if found.instances or not self.current.instances:
            self.current = found
            self._on_change(found)

    async def _fetch(self) -> InstanceList | None:
        async with self._session.get(
            self._url,
            headers={'If-None-Match': self._entity_tag},
            timeout=make_silence_timeout(global_settings.PLATFORM_TIMEOUT_MS),
            raise_for_status=True,
        ) as response:
            if response.status == _NOT_MODIFIED:
                return None
            body = await response.read()
            self._entity_tag = response.headers.get('ETag', '')
            return msgspec.json.decode(body, type=InstanceList)
