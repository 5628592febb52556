"""Tell what the reasons of failed attempts say about instances."""

from ragworthollow.outcomes import Reason

# Failures that indicate a problem of the instance rather than of the request.
# A short time limit or an error response does not predict whether the next
# request to the instance would fail.
SUSPECT_REASONS = frozenset(
    (
        Reason.connect_failed,
        Reason.connection_lost,
        Reason.truncated,
        Reason.events_out_of_order,
        Reason.mismatched_answer,
        Reason.misdirected,
        Reason.upstream_full,
    )
)

# Failures that a crash of the instance would cause.
CONNECTION_LOSS_REASONS = frozenset((Reason.connection_lost, Reason.truncated))
