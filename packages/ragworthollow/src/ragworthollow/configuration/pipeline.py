"""Define a pipeline."""

from ragworthollow.configuration.stage import Stage
from ragworthollow.utils.message import StrictMessage


class Pipeline(StrictMessage):
    """
    Describe one pipeline.

    Attributes
    ----------
    organisations : tuple of str
        Who may call it; no other organisation learns that it exists.
    stages : tuple of Stage
        In the order in which they run.
    deadline_ms : int
        Longest deadline a caller may ask for.
    worth : float
        Weight of one request, multiplied by that of its organisation.
    """

    organisations: tuple[str, ...]
    stages: tuple[Stage, ...]
    deadline_ms: int = 3000
    worth: float = 1.0

    def has_non_repeatable(self) -> bool:
        """Tell whether any stage may run at most once."""
        return any(not stage.repeatable for stage in self.stages)
