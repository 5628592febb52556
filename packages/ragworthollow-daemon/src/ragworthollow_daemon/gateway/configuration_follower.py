"""Keep the newest route table in force."""

from collections.abc import Mapping

from result import Err

from ragworthollow.logs.events import log_error, log_event
from ragworthollow.platform.configuration_wire import (
    CONFIGURATION_KEY,
    decode_configuration,
)
from ragworthollow.platform.stored import Stored
from ragworthollow_daemon.gateway.context import GatewayContext

_STEP = 'configuration'


class ConfigurationFollower:
    """
    Take the configuration from each read of the store, and never go back.

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
        self._taken = Stored()

    def take(self, found: Mapping[str, Stored], _asked_ms: float) -> None:
        """
        Take what the store holds; a failure keeps the version in force.

        Parameters
        ----------
        found : mapping of str to Stored
            All keys.
        """
        stored = found.get(CONFIGURATION_KEY)
        if stored is None:
            return
        if not stored.is_same_write(self._taken):
            self._taken = stored
            self._take(stored)

    def note_lost(self, _detail: str) -> None:
        """Keep the version in force."""

    def _take(self, stored: Stored) -> None:
        decoded = decode_configuration(stored.text.encode())
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
        self._context.put_table(table)
        log_event(
            'configuration_in_force',
            step=_STEP,
            version=table.version,
            revision=stored.mod_revision,
            earlier=None if current is None else current.version,
        )
