"""Define a prompt that an instance is reading."""

from dataclasses import dataclass

from ragworthollow.upstreams.load_tracker import InstanceRecord


@dataclass(frozen=True, kw_only=True, slots=True)
class UnreadPrompt:
    """
    Hold the prompt tokens that were added to the load of an instance.

    Attributes
    ----------
    record : InstanceRecord
        Record of the incarnation to which the prompt was sent.
    tokens : int
        Tokens to be taken off again.
    """

    record: InstanceRecord
    tokens: int
