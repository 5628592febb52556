"""Ask for and give promises between members."""

import msgspec

from ragworthollow.once.ownership import Ownership
from ragworthollow.once.peer_messages import MemberQuestion, MemberReply


def make_question(ownership: Ownership) -> MemberQuestion:
    """Make the question of a member that wants a promise."""
    return MemberQuestion(
        instance=ownership.instance,
        epoch=ownership.assignment.epoch,
    )


def reply_to(
    ownership: Ownership,
    question: MemberQuestion,
    now_ms: float,
) -> MemberReply:
    """
    Give a promise, or say why there is none.

    Only members that know the same record promise each other anything.  The
    platform may have gone away before one of them read the newest record;
    then the other one shows it, or both would refuse keys until the platform
    is back.

    Parameters
    ----------
    ownership : Ownership
        Of the member that is asked.
    question : MemberQuestion
        What is asked.
    now_ms : float
        Monotonic time.

    Returns
    -------
    MemberReply
        Carries the newer record when the asker knows an older one.
    """
    if question.assignment is not None:
        ownership.learn(question.assignment)
    granted = ownership.grant(question.instance, question.epoch, now_ms)
    known = ownership.assignment
    return MemberReply(
        incarnation=ownership.incarnation,
        epoch=known.epoch,
        granted=granted,
        assignment=known if known.epoch > question.epoch else None,
    )


def show_record(
    ownership: Ownership,
    question: MemberQuestion,
    reply: MemberReply,
) -> MemberQuestion | None:
    """
    Ask again with our record when the member knows an older one.

    Returns
    -------
    MemberQuestion or None
        None when the reply stands.
    """
    if reply.epoch >= question.epoch:
        return None
    return msgspec.structs.replace(question, assignment=ownership.assignment)


def take_reply(
    ownership: Ownership,
    reply: MemberReply,
    asked_ms: float,
) -> bool:
    """
    Take a reply in.

    Parameters
    ----------
    ownership : Ownership
        Of the member that asked.
    reply : MemberReply
        What was said.
    asked_ms : float
        Monotonic time of the question.

    Returns
    -------
    bool
        Whether it is a promise.
    """
    if reply.granted:
        ownership.accept_grant(reply.incarnation, asked_ms)
    elif reply.assignment is not None:
        ownership.learn(reply.assignment)
    return reply.granted
