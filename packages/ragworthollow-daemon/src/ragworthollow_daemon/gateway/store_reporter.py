"""Log and count the outcomes of reads of the store."""

from result import Err, Result

from ragworthollow.logs.events import log_event
from ragworthollow.metrics import Metrics
from ragworthollow.platform import PlatformError
from ragworthollow.platform.store_position import StorePosition
from ragworthollow.platform.store_snapshot import StoreSnapshot
from ragworthollow.replica import Replica
from ragworthollow.utils import get_boottime_ms

_STEP = 'store'
_PEER = 'store'


class StoreReporter:
    """
    Report to operators how well a gateway keeps up with the store.

    Parameters
    ----------
    metrics : Metrics
        Metrics of this process.
    replica : Replica
        This gateway's replica of the store.
    """

    def __init__(self, *, metrics: Metrics, replica: Replica) -> None:
        self._metrics = metrics
        self._replica = replica
        self._is_reachable = True

    def record_read(
        self,
        sent_ms: float,
        read: Result[None, PlatformError],
    ) -> None:
        """
        Count a read, and record its duration.

        The log only reports the first failed read.  These metrics show whether
        all later reads fail too, and how close successful ones come to the
        timeout.

        Parameters
        ----------
        sent_ms : float
            When the read began, on CLOCK_BOOTTIME.
        read : Result
            Its outcome.
        """
        took_ms = get_boottime_ms() - sent_ms
        if isinstance(read, Err):
            self._metrics.count_event('store_read_lost')
            self._record_reachable(str(read.err_value), is_reachable=False)
            return
        self._metrics.count_event('store_read')
        self._metrics.set_state('store_read_ms', took_ms)
        self._record_reachable('', is_reachable=True)

    def record_restore(self, previous: StorePosition) -> None:
        """
        Log that a restored store has lost accepted changes.

        Parameters
        ----------
        previous : StorePosition
            Position of the replica before the restore was noticed.
        """
        view = self._replica.view
        self._metrics.count_event('store_restored')
        log_event(
            'store_restored',
            step=_STEP,
            peer=_PEER,
            timeline=view.timeline,
            revision=view.revision,
            held_timeline=previous.timeline,
            held_revision=previous.revision,
            retained=self._replica.count_retained(),
        )

    def make_stale_read_error(self, snapshot: StoreSnapshot) -> PlatformError:
        """Make the error for a read of a state older than the replica's."""
        self._metrics.count_event('store_state_older')
        known = self._replica.view.timeline
        return PlatformError(
            step=_STEP,
            peer=_PEER,
            detail=f'read timeline {snapshot.timeline}, peers reported {known}',
            may_have_applied=False,
        )

    def _record_reachable(self, detail: str, *, is_reachable: bool) -> None:
        if is_reachable == self._is_reachable:
            return
        self._is_reachable = is_reachable
        log_event(
            'dependency_regained' if is_reachable else 'dependency_lost',
            step=_STEP,
            peer=_PEER,
            error=detail,
        )
