"""Define a pipeline of stages."""

from ragworthollow.configuration.stage import Stage
from ragworthollow.utils.message import StrictMessage


class Pipeline(StrictMessage):
    """
    Describe one pipeline and its access.

    Attributes
    ----------
    organisations : tuple of str
        Organisations that may call it; its existence is hidden from all
        others.
    stages : tuple of Stage
        Stages in the order in which they run.
    deadline_ms : int
        Longest deadline that a caller may request, in milliseconds.
    worth : float
        Weight of one request, multiplied by the worth of its organisation.
    """

    organisations: tuple[str, ...]
    stages: tuple[Stage, ...]
    deadline_ms: int = 3000
    worth: float = 1.0

    def has_non_repeatable(self) -> bool:
        """Return whether any stage may run at most once."""
        return any(not stage.repeatable for stage in self.stages)
