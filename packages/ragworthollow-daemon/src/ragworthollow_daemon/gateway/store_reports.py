"""Log and count what becomes of reads of the store."""

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


class StoreReports:
    """
    Tell operators how a gateway follows the store.

    Parameters
    ----------
    metrics : Metrics
        Of this process.
    replica : Replica
        The copy that is kept.
    """

    def __init__(self, *, metrics: Metrics, replica: Replica) -> None:
        self._metrics = metrics
        self._replica = replica
        self._is_reachable = True

    def note_read(
        self,
        asked_ms: float,
        read: Result[None, PlatformError],
    ) -> None:
        """
        Count a read, and how long it took.

        The log names the first read that is lost; these tell whether all
        later ones are lost too, and how near to it the good ones come.
        """
        took_ms = get_boottime_ms() - asked_ms
        if isinstance(read, Err):
            self._metrics.count_event('store_read_lost')
            self._note_reachable(str(read.err_value), is_reachable=False)
            return
        self._metrics.count_event('store_read')
        self._metrics.set_state('store_read_ms', took_ms)
        self._note_reachable('', is_reachable=True)

    def note_restored(self, held: StorePosition) -> None:
        """
        Log that the store has lost what it had accepted.

        Parameters
        ----------
        held : StorePosition
            Of the state that was held before.
        """
        view = self._replica.view
        self._metrics.count_event('store_restored')
        log_event(
            'store_restored',
            step=_STEP,
            peer=_PEER,
            timeline=view.timeline,
            revision=view.revision,
            held_timeline=held.timeline,
            held_revision=held.revision,
            retained=self._replica.count_retained(),
        )

    def explain_older(self, snapshot: StoreSnapshot) -> PlatformError:
        """Say why a read that was on its way is not taken."""
        self._metrics.count_event('store_state_older')
        known = self._replica.view.timeline
        return PlatformError(
            step=_STEP,
            peer=_PEER,
            detail=f'read in timeline {snapshot.timeline}, others know {known}',
            may_have_applied=False,
        )

    def _note_reachable(self, detail: str, *, is_reachable: bool) -> None:
        if is_reachable == self._is_reachable:
            return
        self._is_reachable = is_reachable
        log_event(
            'dependency_regained' if is_reachable else 'dependency_lost',
            step=_STEP,
            peer=_PEER,
            error=detail,
        )
