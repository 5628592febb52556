"""Parse each configuration file only once."""

from collections.abc import Collection

from result import Result

from ragworthollow.checks.check_message import CheckMessage
from ragworthollow.configuration.deployment import Deployment
from ragworthollow.configuration.merge import SourceFile, parse_file

_ParseResult = Result[Deployment, CheckMessage]


class ParseCache:
    """
    Cache the parse result of each file.

    A change usually affects one file of many; parsing all files again would
    block the event loop of every process for most of a second at the
    largest supported size.
    """

    def __init__(self) -> None:
        self._results: dict[SourceFile, _ParseResult] = {}

    def parse(self, source: SourceFile) -> _ParseResult:
        """
        Return the parse result of a file, from the cache if possible.

        Parameters
        ----------
        source : SourceFile
            Name and text of the file.

        Returns
        -------
        Result
            Declarations of the file, or the first problem found.
        """
        parsed = self._results.get(source)
        if parsed is None:
            parsed = parse_file(source)
            self._results[source] = parsed
        return parsed

    def retain_only(self, files: Collection[SourceFile]) -> None:
        """Evict all files except the given ones."""
        self._results = {
            source: parsed
            for source, parsed in self._results.items()
            if source in files
        }
