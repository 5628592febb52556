"""Keep the newest route table in force."""

from result import Err

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_error, log_event
from ragworthollow.platform.configuration_wire import (
    CONFIGURATION_KEY,
    decode_configuration,
)
from ragworthollow.platform.stored import Stored
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.poll_pace import poll_forever

_STEP = 'configuration'


class ConfigurationFollower:
    """
    Read the configuration again and again, and never go back.

    Watches may be silent while changes are made, and histories are dropped,
    so that a watch alone proves nothing; a read that answers proves that
    this version is the newest.

    Parameters
    ----------
    context : GatewayContext
        Of this process.
    """

    def __init__(self, *, context: GatewayContext) -> None:
        self._context = context
        self._revision = 0
        self._is_reachable = True

    async def run(self) -> None:
        """Poll until cancelled."""
        await poll_forever(self.poll, global_settings.CONFIGURATION_POLL_MS)

    async def poll(self) -> bool:
        """
        Read once; a failure keeps the version that is in force.

        Returns
        -------
        bool
            Whether the store answered.
        """
        asked_ms = get_monotonic_ms()
        found = await self._context.store.read(CONFIGURATION_KEY)
        if isinstance(found, Err):
            self._note_reachable(reachable=False, detail=str(found.err_value))
            return False
        self._note_reachable(reachable=True, detail='')
        self._context.table_read_ms = asked_ms
        stored = found.ok_value
        if stored.mod_revision > self._revision:
            self._take(stored)
        return True

    def _take(self, stored: Stored) -> None:
        decoded = decode_configuration(stored.text.encode())
        self._revision = stored.mod_revision
        if isinstance(decoded, Err):
            log_error(
                'configuration_unreadable',
                step=_STEP,
                peer=self._context.settings.store_url,
                revision=stored.mod_revision,
                error=decoded.err_value.detail,
            )
            return
        table = decoded.ok_value
        current = self._context.table
        if current is not None and table.version < current.version:
            log_error(
                'configuration_older',
                step=_STEP,
                peer=self._context.settings.store_url,
                version=table.version,
                in_force=current.version,
            )
            return
        self._context.monitor.require(
            holds=current is None or table.version >= current.version,
            invariant='configuration.never_older',
            step=_STEP,
            peer=self._context.settings.store_url,
        )
        self._context.table = table
        log_event(
            'configuration_in_force',
            step=_STEP,
            version=table.version,
            revision=stored.mod_revision,
            earlier=None if current is None else current.version,
        )

    def _note_reachable(self, *, reachable: bool, detail: str) -> None:
        if reachable == self._is_reachable:
            return
        self._is_reachable = reachable
        event = 'dependency_regained' if reachable else 'dependency_lost'
        log_event(
            event,
            step=_STEP,
            peer=self._context.settings.store_url,
            error=detail,
        )
