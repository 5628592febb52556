"""Define the request and the response of a configuration change."""

from ragworthollow.checks.check_message import CheckMessage
from ragworthollow.outcomes import Reason
from ragworthollow.utils.message import Message


class ChangeRequest(Message):
    """
    Request that files be written or removed.

    Attributes
    ----------
    change_id : str
        Idempotency key chosen by the operator's tool: a retry with the same
        id is never applied twice.
    base : dict
        SHA-256 by file name of each affected file, in the version that the
        operator last read; empty for a file that did not exist.
    puts : dict
        New contents by file name.
    removals : tuple of str
        Names of the files to remove.
    dry_run : bool
        Run all checks without applying the change.
    """

    change_id: str
    base: dict[str, str]
    puts: dict[str, str] = {}
    removals: tuple[str, ...] = ()
    dry_run: bool = False

    def get_names(self) -> tuple[str, ...]:
        """Return the sorted names of all affected files."""
        return tuple(sorted({*self.puts, *self.removals}))


class ChangeResponse(Message):
    """
    Report the outcome of a change request.

    Attributes
    ----------
    accepted : bool
        Whether the change is part of the active configuration.
    generation : int
        Generation that the change created, or the current generation when it
        was not accepted.
    reason : Reason or None
        Why the change was not accepted.
    detail : str
        Explanation in one sentence; for a conflict, which operator changed
        the file in which generation.
    problems : tuple of CheckMessage
        Findings of the checks, including warnings.
    may_have_applied : bool
        The platform's response was lost and the outcome could not be read
        back.
    """

    accepted: bool
    generation: int = 0
    reason: Reason | None = None
    detail: str = ''
    problems: tuple[CheckMessage, ...] = ()
    may_have_applied: bool = False
