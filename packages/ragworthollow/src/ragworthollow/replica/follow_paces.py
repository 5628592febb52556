"""Derive from the installation's bounds how often the store is read."""

from dataclasses import dataclass

from ragworthollow.conf import global_settings


@dataclass(frozen=True, kw_only=True, slots=True)
class FollowPaces:
    """
    Say how old what is known of the store may grow.

    Attributes
    ----------
    trust_ms : float
        Age of the youngest evidence, own or a peer's, at which a gateway reads
        for itself.
    read_ms : float
        The same at the gateway that reads for the others.
    step_ms : float
        How much later each further one that others ask reads, so that it
        reads only where those before it do not.
    retry_longest_ms : float
        Longest pause between tries while the store does not answer.
    """

    trust_ms: float
    read_ms: float
    step_ms: float
    retry_longest_ms: float

    def get_read_ms(self, place: int) -> float:
        """
        Return the age at which one of those that others ask reads.

        Parameters
        ----------
        place : int
            Its place among them, 0 first.
        """
        return min(self.trust_ms, self.read_ms + place * self.step_ms)


def derive_paces(*, bound_ms: float, heartbeat_ms: float) -> FollowPaces:
    """
    Derive the paces from what they have to keep.

    A change is accepted right after a read.  The evidence of that read grows
    as old as `trust_ms`; then the gateway reads, the call is lost and made
    again.  All that has to fit into a part of the bound.

    Entries of live instances lapse in an outage after three heartbeats.  An
    outage has to be noticed before, since otherwise they would be taken for
    gone; a heartbeat may just have been due when it began.

    Parameters
    ----------
    bound_ms : float
        Time from the acceptance of a change to its being in force.
    heartbeat_ms : float
        Pace at which instances renew their entries.
    """
    step_ms = global_settings.HOST_PING_MS + global_settings.PEER_ANSWER_MS
    lost_ms = (
        global_settings.STORE_TIMEOUT_MS
        + global_settings.STORE_RETRY_MS
        + global_settings.STORE_ANSWER_MS
    )
    trust_ms = max(
        step_ms,
        min(
            bound_ms * global_settings.CHANGE_SEEN_SHARE - lost_ms,
            2 * heartbeat_ms - global_settings.STORE_TIMEOUT_MS,
        ),
    )
    # Room for two further readers and for the way to those that ask.
    read_ms = trust_ms - 3 * step_ms
    return FollowPaces(
        trust_ms=trust_ms,
        read_ms=max(read_ms, trust_ms * global_settings.READ_LEAST_SHARE),
        step_ms=step_ms,
        retry_longest_ms=bound_ms * global_settings.STORE_RETRY_SHARE,
    )
