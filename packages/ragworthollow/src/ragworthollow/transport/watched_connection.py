"""Notice clients that leave or read nothing while a connection waits."""

from ragworthollow.transport.caller_check import CallerCheck
from ragworthollow.transport.rejection_log import RejectionLog
from ragworthollow.transport.stall_check import StallCheck
from ragworthollow.transport.timed_connection import GetLimits, TimedConnection


class WatchedConnection(TimedConnection):
    """
    Close a connection whose client has left, or does not read its response.

    Parameters
    ----------
    server : Server
        Server that accepted the connection.
    get_limits : callable
        Returns the active limits.
    log : RejectionLog
        Records refused clients.
    options
        Options of the aiohttp request handler.
    """

    def __init__(
        self,
        server: object,
        *,
        get_limits: GetLimits,
        log: RejectionLog,
        **options: object,
    ) -> None:
        super().__init__(server, get_limits=get_limits, log=log, **options)
        self._caller_check = CallerCheck(on_left=self._abort)
        self._stall_check = StallCheck(
            on_stall=lambda: self.evict('response_not_read')
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the checks of a closed connection."""
        self._caller_check.stop()
        self._stall_check.stop()
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Note that the client reads more slowly than the response is sent."""
        super().pause_writing()
        if self.transport is not None:
            self._stall_check.start(self.transport)
        self._record_phase()

    def resume_writing(self) -> None:
        """Note that the client has read."""
        self._stall_check.stop()
        super().resume_writing()
        self._record_phase()

    def evict(self, reason: str) -> None:
        """Close the connection at once, for the sake of others."""
        self._log.record(
            'connection_evicted', peer=str(self.peername), reason=reason
        )
        self._abort()

    def _record_phase(self) -> None:
        """Note whether the connection waits for its client."""

    def _abort(self) -> None:
        """Reset the connection, and cancel the handler of its request."""
        transport = self.transport
        if transport is not None:
            self._force_close = True
            transport.abort()

    def _pause_transport_reading(self) -> None:
        super()._pause_transport_reading()
        if self.transport is not None:
            self._caller_check.start(self.transport)

    def _resume_transport_reading(self) -> None:
        self._caller_check.stop()
        super()._resume_transport_reading()
