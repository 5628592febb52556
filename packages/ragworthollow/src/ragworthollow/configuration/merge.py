"""Merge configuration files in the order of their names."""

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from result import Err, Ok, Result

from ragworthollow.checks.check_message import CheckMessage
from ragworthollow.configuration.deployment import Deployment
from ragworthollow.utils.strict_yaml import load_yaml

FileParser = Callable[['SourceFile'], Result[Deployment, CheckMessage]]

SECTIONS = ('organisations', 'pipelines', 'pools', 'models')


@dataclass(frozen=True, kw_only=True, slots=True)
class SourceFile:
    """
    Hold the name and text of one configuration file.

    Attributes
    ----------
    name : str
        File name, which determines the merge order.
    text : str
        Content in YAML.
    """

    name: str
    text: str


@dataclass(frozen=True, kw_only=True, slots=True)
class MergeResult:
    """
    Hold the result of a merge.

    Attributes
    ----------
    deployment : Deployment
        The merged declarations.
    origins : dict
        File that declares each dotted path, such as `pools.lm-pool`.
    owners : dict
        Owner of each file, by file name.
    problems : tuple of CheckMessage
        Findings; the deployment may only be used if none is an error.
    """

    deployment: Deployment = Deployment()
    origins: dict[str, str] = field(default_factory=dict)
    owners: dict[str, str] = field(default_factory=dict)
    problems: tuple[CheckMessage, ...] = ()


class _Merger:
    """Accumulate the declarations of parsed files."""

    def __init__(self) -> None:
        self.sections: dict[str, dict[str, object]] = {
            section: {} for section in SECTIONS
        }
        self.origins: dict[str, str] = {}
        self.owners: dict[str, str] = {}
        self.problems: list[CheckMessage] = []
        self._overridable: dict[str, frozenset[str]] = {}

    def add(self, name: str, part: Deployment) -> None:
        """Merge the declarations of one file into those of earlier files."""
        self.owners[name] = part.owner
        self._overridable[name] = frozenset(part.allow_override)
        for section in SECTIONS:
            for key, declared in getattr(part, section).items():
                self._declare(name, f'{section}.{key}', declared)

    def _declare(self, name: str, path: str, declared: object) -> None:
        earlier = self.origins.get(path)
        if earlier is not None and not self._may_override(name, path, earlier):
            self.problems.append(
                CheckMessage(
                    check_id='config.E004',
                    text=f'{path} is already declared in {earlier}, owned by'
                    f' {self.owners[earlier]}',
                    hint=f'ask its owner to list {path} under'
                    ' allow_override, or choose another name',
                    where=name,
                ),
            )
            return
        section, _, key = path.partition('.')
        self.sections[section][key] = declared
        self.origins[path] = name

    def _may_override(self, name: str, path: str, earlier: str) -> bool:
        if self.owners[earlier] == self.owners[name]:
            return True
        return path in self._overridable[earlier]


def merge_files(
    files: list[SourceFile],
    parse: FileParser | None = None,
) -> MergeResult:
    """
    Merge files in the order of their names and collect all problems.

    Parameters
    ----------
    files : list of SourceFile
        Files in any order.
    parse : callable or None
        Parses one file, possibly from a cache; `parse_file` by default.

    Returns
    -------
    MergeResult
        The merged deployment, the origin of each declaration and the
        problems.
    """
    merger = _Merger()
    for source in sorted(files, key=lambda source_file: source_file.name):
        parsed = (parse or parse_file)(source)
        if isinstance(parsed, Err):
            merger.problems.append(parsed.err_value)
        else:
            merger.add(source.name, parsed.ok_value)
    return MergeResult(
        deployment=msgspec.convert(merger.sections, Deployment),
        origins=merger.origins,
        owners=merger.owners,
        problems=tuple(merger.problems),
    )


def parse_file(source: SourceFile) -> Result[Deployment, CheckMessage]:
    """
    Parse one file against its schema.

    Parameters
    ----------
    source : SourceFile
        Name and text of the file.

    Returns
    -------
    Result
        Declarations of the file, or the first problem found.
    """
    loaded = load_yaml(source.text.encode())
    if isinstance(loaded, Err):
        return Err(
            CheckMessage(
                check_id='config.E001',
                text=loaded.err_value,
                hint='the file must be one plain YAML mapping in UTF-8',
                where=source.name,
            ),
        )
    return _convert(source.name, loaded.ok_value)


def _convert(
    name: str,
    document: dict[str, object],
) -> Result[Deployment, CheckMessage]:
    try:
        part = msgspec.convert(document, Deployment)
    except msgspec.ValidationError as error:
        return Err(
            CheckMessage(
                check_id='config.E002',
                text=str(error),
                hint='see docs/ref/configuration.md for the fields',
                where=name,
            ),
        )
    if not part.owner:
        return Err(
            CheckMessage(
                check_id='config.E003',
                text='the file declares no owner',
                hint='add a line such as "owner: bluefields"',
                where=name,
            ),
        )
    return Ok(part)
