"""Define a change that an operator asks for."""

from ragworthollow.checks.check_message import CheckMessage
from ragworthollow.outcomes import Reason
from ragworthollow.utils.message import Message


class ChangeRequest(Message):
    """
    Ask for files to be written or removed.

    Attributes
    ----------
    change_id : str
        Chosen by the tool; asking again with it never applies twice.
    base : dict
        Hash of each touched file as the operator last saw it; empty for a
        file that did not exist.
    puts : dict
        New texts by file name.
    removals : tuple of str
        Names of files to be removed.
    dry_run : bool
        Check everything and change nothing.
    """

    change_id: str
    base: dict[str, str]
    puts: dict[str, str] = {}
    removals: tuple[str, ...] = ()
    dry_run: bool = False

    def get_names(self) -> tuple[str, ...]:
        """Return the names of all files it touches, sorted."""
        return tuple(sorted({*self.puts, *self.removals}))


class ChangeAnswer(Message):
    """
    Answer a change.

    Attributes
    ----------
    accepted : bool
        Whether it is part of the configuration in force.
    generation : int
        Generation it made, or the one that stands in its way.
    reason : Reason or None
        Why it was not accepted.
    detail : str
        One sentence: for a conflict, who changed what and when.
    problems : tuple of CheckMessage
        Findings, warnings included.
    may_have_applied : bool
        The platform's answer was lost and could not be read back.
    """

    accepted: bool
    generation: int = 0
    reason: Reason | None = None
    detail: str = ''
    problems: tuple[CheckMessage, ...] = ()
    may_have_applied: bool = False
