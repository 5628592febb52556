"""Load YAML safely, refusing ambiguous or malicious documents."""

from collections.abc import Hashable

import yaml
from result import Err, Ok, Result

from ragworthollow.conf import global_settings


class _StrictLoader(yaml.CSafeLoader):
    """Refuse duplicate keys, since only one of the values would apply."""

    def construct_mapping(
        self,
        node: yaml.MappingNode,
        deep: bool = False,
    ) -> dict[Hashable, object]:
        """Construct a mapping, refusing duplicate and non-string keys."""
        seen: set[object] = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if not isinstance(key, str):
                raise yaml.constructor.ConstructorError(
                    None,
                    None,
                    f'key {key!r} is not a string',
                    key_node.start_mark,
                )
            if key in seen:
                raise yaml.constructor.ConstructorError(
                    None,
                    None,
                    f'key {key!r} is written twice',
                    key_node.start_mark,
                )
            seen.add(key)
        return super().construct_mapping(node, deep=deep)


def load_yaml(source: bytes) -> Result[dict[str, object], str]:
    """
    Parse one YAML document whose top level is a mapping.

    Parameters
    ----------
    source : bytes
        Content of the file, not decoded.

    Returns
    -------
    Result
        The mapping, or a description of the problem and its position in one
        line.
    """
    if len(source) > global_settings.MAX_CONFIGURATION_FILE_BYTES:
        limit = global_settings.MAX_CONFIGURATION_FILE_BYTES
        return Err(f'{len(source)} bytes is over the limit of {limit}')
    try:
        text = source.decode('utf-8')
    except UnicodeDecodeError as error:
        return Err(f'invalid UTF-8 at byte {error.start}')
    return _parse(text)


def _parse(text: str) -> Result[dict[str, object], str]:
    try:
        document = _load(text)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark
        where = f' at line {mark.line + 1}' if mark else ''
        return Err(f'{error.problem}{where}')
    except (yaml.YAMLError, RecursionError, ValueError) as error:
        return Err(f'invalid YAML: {error}'.splitlines()[0])
    if document is None:
        return Ok({})
    if not isinstance(document, dict):
        return Err('the top level of the file is not a mapping')
    return Ok(document)


def _load(text: str) -> object:
    for event in yaml.parse(text, Loader=yaml.CSafeLoader):
        if isinstance(event, yaml.AliasEvent):
            # Cyclic or deeply nested aliases can exhaust the memory.
            raise yaml.constructor.ConstructorError(
                None,
                None,
                f'alias {event.anchor!r} is not allowed',
                event.start_mark,
            )
    return yaml.load(text, Loader=_StrictLoader)  # noqa: S506
