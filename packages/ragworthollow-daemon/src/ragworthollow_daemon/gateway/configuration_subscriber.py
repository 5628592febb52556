"""Keep the latest configuration active."""

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


class ConfigurationSubscriber:
    """
    Apply the configuration from each read of the store, never an older one.

    A watch alone does not prove that a version is the latest: it may miss
    changes, and the store drops its history.  A successful read does.

    Parameters
    ----------
    context : GatewayContext
        Shared state of this gateway.
    """

    def __init__(self, *, context: GatewayContext) -> None:
        self._context = context
        self._last_stored = Stored()

    def apply_entries(
        self, entries: Mapping[str, Stored], _confirmed_ms: float
    ) -> None:
        """
        Apply the stored configuration; keep the current one on failure.

        Parameters
        ----------
        entries : mapping of str to Stored
            All records of the store by key.
        """
        stored = entries.get(CONFIGURATION_KEY)
        if stored is None:
            return
        if not stored.is_same_write(self._last_stored):
            self._last_stored = stored
            self._apply(stored)

    def handle_store_unavailable(self, _detail: str) -> None:
        """Keep the current version while the store cannot be read."""

    def _apply(self, stored: Stored) -> None:
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
        current = self._context.route_table
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
        self._context.set_route_table(table)
        log_event(
            'configuration_in_force',
            step=_STEP,
            version=table.version,
            revision=stored.mod_revision,
            earlier=None if current is None else current.version,
        )
