"""Request and grant promises between members."""

import msgspec

from ragworthollow.once.ownership import Ownership
from ragworthollow.once.peer_messages import MemberReply, MemberRequest


def make_promise_request(ownership: Ownership) -> MemberRequest:
    """Return the request for a promise from another member."""
    return MemberRequest(
        instance=ownership.instance,
        epoch=ownership.assignment.epoch,
    )


def make_reply(
    ownership: Ownership,
    request: MemberRequest,
    now_ms: float,
) -> MemberReply:
    """
    Grant a promise, or return why it is not granted.

    Members grant each other promises only if they know the same assignment.
    The platform may have become unavailable before one of them read the
    newest assignment; the other member then sends it, since otherwise both
    would refuse keys until the platform is available again.

    Parameters
    ----------
    ownership : Ownership
        State of the member that receives the request.
    request : MemberRequest
        Request received.
    now_ms : float
        Monotonic time in milliseconds.

    Returns
    -------
    MemberReply
        Includes the assignment if the requester knows an older epoch.
    """
    if request.assignment is not None:
        ownership.apply_assignment(request.assignment)
    granted = ownership.grant_promise(request.instance, request.epoch, now_ms)
    known = ownership.assignment
    return MemberReply(
        incarnation=ownership.incarnation,
        epoch=known.epoch,
        granted=granted,
        assignment=known if known.epoch > request.epoch else None,
    )


def make_request_with_assignment(
    ownership: Ownership,
    request: MemberRequest,
    reply: MemberReply,
) -> MemberRequest | None:
    """
    Return a request with our assignment if the member knows an older epoch.

    Returns
    -------
    MemberRequest or None
        None if the reply is final.
    """
    if reply.epoch >= request.epoch:
        return None
    return msgspec.structs.replace(request, assignment=ownership.assignment)


def apply_reply(
    ownership: Ownership,
    reply: MemberReply,
    sent_ms: float,
) -> bool:
    """
    Apply the reply of a member.

    Parameters
    ----------
    ownership : Ownership
        State of the member that sent the request.
    reply : MemberReply
        Reply received.
    sent_ms : float
        Monotonic time at which the request was sent, in milliseconds.

    Returns
    -------
    bool
        Whether the promise was granted.
    """
    if reply.granted:
        ownership.record_promise(reply.incarnation, sent_ms)
    elif reply.assignment is not None:
        ownership.apply_assignment(reply.assignment)
    return reply.granted
