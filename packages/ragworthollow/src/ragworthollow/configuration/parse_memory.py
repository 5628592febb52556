"""Parse each configuration file only once."""

from collections.abc import Collection

from result import Result

from ragworthollow.checks.check_message import CheckMessage
from ragworthollow.configuration.deployment import Deployment
from ragworthollow.configuration.merge import SourceFile, parse_file

_Parsed = Result[Deployment, CheckMessage]


class ParseMemory:
    """
    Remember the parts that files were parsed to.

    A change touches one file of many; parsing all of them again would hold
    the loop of every process for most of a second at the design size.
    """

    def __init__(self) -> None:
        self._known: dict[SourceFile, _Parsed] = {}

    def parse(self, source: SourceFile) -> _Parsed:
        """
        Parse a file, or take its part from memory.

        Parameters
        ----------
        source : SourceFile
            Name and text.

        Returns
        -------
        Result
            Its part of the deployment, or the first problem found.
        """
        known = self._known.get(source)
        if known is None:
            known = parse_file(source)
            self._known[source] = known
        return known

    def keep_only(self, files: Collection[SourceFile]) -> None:
        """Forget all files but these."""
        self._known = {
            source: part
            for source, part in self._known.items()
            if source in files
        }
