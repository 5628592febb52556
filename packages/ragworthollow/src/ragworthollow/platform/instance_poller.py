"""Poll the platform's list of instances."""

import asyncio
from collections.abc import Callable

import aiohttp
import msgspec

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.platform.instance_list import InstanceList
from ragworthollow.platform.instance_list_decoding import decode_instance_list
from ragworthollow.transport.bounded_reading import read_bounded
from ragworthollow.transport.timeouts import make_inactivity_timeout

_MILLISECONDS = 1000
_NOT_MODIFIED = 304


class InstancePoller:
    """
    Poll the list of instances with conditional requests.

    An unchanged list costs one small exchange; the last list stays in use
    while the platform is unavailable.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP session for the requests.
    url : str
        URL of the list.
    on_change : callable
        Callback that gets each new list.

    Attributes
    ----------
    current : InstanceList
        The last list.
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
        """Fetch the list once; a failure keeps the last list."""
        try:
            fetched = await self._fetch()
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
        if fetched is None:
            return
        # A list service that has lost its state returns an empty list; applying
        # it would leave every pool without an instance.
        if fetched.instances or not self.current.instances:
            self.current = fetched
            self._on_change(fetched)

    async def _fetch(self) -> InstanceList | None:
        async with self._session.get(
            self._url,
            headers={'If-None-Match': self._entity_tag},
            timeout=make_inactivity_timeout(
                global_settings.PLATFORM_TIMEOUT_MS
            ),
            raise_for_status=True,
        ) as response:
            if response.status == _NOT_MODIFIED:
                return None
            fetched = await decode_instance_list(
                await read_bounded(
                    response, global_settings.MAX_INSTANCE_LIST_BYTES
                ),
            )
            # Kept only with its list: it makes the service leave that out.
            self._entity_tag = response.headers.get('ETag', '')
            return fetched
