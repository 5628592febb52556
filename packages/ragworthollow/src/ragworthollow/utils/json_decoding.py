"""Decode JSON that other processes have sent."""

from typing import TypeVar

import msgspec

_Decoded = TypeVar('_Decoded')


def decode_json(text: bytes | str, kind: type[_Decoded]) -> _Decoded:
    """
    Decode JSON as a type.

    Parameters
    ----------
    text : bytes or str
        The JSON text.
    kind : type
        Type of the decoded message.

    Raises
    ------
    msgspec.DecodeError
        The text is not valid, for whatever reason. The decoder itself raises
        other errors too, such as RecursionError for deeply nested text.
    """
    try:
        return msgspec.json.decode(text, type=kind)
    except msgspec.DecodeError:
        raise
    except Exception as error:
        raise msgspec.DecodeError(f'unreadable: {error!r}') from error
