"""Define how far the answer to a request is."""

from dataclasses import dataclass


@dataclass(kw_only=True, slots=True)
class AnswerProgress:
    """
    Tell how far the answer to a request is.

    A caller that leaves ends its request wherever it is; the log can only
    say who kept it waiting when that is noted on the way.

    Attributes
    ----------
    step : str
        What is being waited for.
    peer : str
        Pool, or instance of the attempt under way.
    is_started : bool
        Whether its head is sent, so that no other answer is possible.
    """

    step: str
    peer: str
    is_started: bool = False
