"""Derive how often the store is polled from the propagation bounds."""

from dataclasses import dataclass

from ragworthollow.conf import global_settings


@dataclass(frozen=True, kw_only=True, slots=True)
class PollIntervals:
    """
    Limit the age of a gateway's replica of the store.

    Attributes
    ----------
    max_staleness_ms : float
        Maximum age of the latest confirmation, from an own read or a peer;
        at this age a gateway polls the store itself.
    reader_staleness_ms : float
        The same limit for the first reader, the gateway that polls on behalf
        of its peers.
    step_ms : float
        Delay added for each further reader, so that it polls only if the
        readers ranked before it have not.
    max_retry_ms : float
        Maximum delay between retries while the store does not answer.
    """

    max_staleness_ms: float
    reader_staleness_ms: float
    step_ms: float
    max_retry_ms: float

    def get_reader_staleness_ms(self, rank: int) -> float:
        """
        Return the maximum staleness at which a reader polls the store.

        Parameters
        ----------
        rank : int
            Rank of this gateway among the readers, 0 for the first.
        """
        return min(
            self.max_staleness_ms,
            self.reader_staleness_ms + rank * self.step_ms,
        )


def derive_poll_intervals(
    *, bound_ms: float, heartbeat_ms: float
) -> PollIntervals:
    """
    Derive the polling intervals from the bounds that they have to meet.

    In the worst case a change is accepted right after a read.  The staleness
    then grows to `max_staleness_ms`, the gateway polls, and the call fails and
    is retried.  All of this has to fit into a share of the bound.

    During an outage the records of live instances expire after three
    heartbeats.  The outage has to be detected before that, since the instances
    would otherwise be considered gone; a heartbeat may just have been due when
    the outage began.

    Parameters
    ----------
    bound_ms : float
        Maximum time from the acceptance of a change until it is active.
    heartbeat_ms : float
        Interval at which instances renew their records.
    """
    step_ms = global_settings.HOST_PING_MS + global_settings.PEER_RESPONSE_MS
    failed_call_ms = (
        global_settings.STORE_TIMEOUT_MS
        + global_settings.STORE_RETRY_MS
        + global_settings.STORE_RESPONSE_MS
    )
    max_staleness_ms = max(
        step_ms,
        min(
            bound_ms * global_settings.CHANGE_SEEN_SHARE - failed_call_ms,
            2 * heartbeat_ms - global_settings.STORE_TIMEOUT_MS,
        ),
    )
    # Leaves time for two further readers and for passing the update to peers.
    reader_staleness_ms = max_staleness_ms - 3 * step_ms
    return PollIntervals(
        max_staleness_ms=max_staleness_ms,
        reader_staleness_ms=max(
            reader_staleness_ms,
            max_staleness_ms * global_settings.MIN_READ_SHARE,
        ),
        step_ms=step_ms,
        max_retry_ms=bound_ms * global_settings.STORE_RETRY_SHARE,
    )
