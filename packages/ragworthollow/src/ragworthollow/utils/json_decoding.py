"""Decode JSON that other processes have sent."""

import re
from collections.abc import Iterable
from typing import TypeVar

import msgspec

_Decoded = TypeVar('_Decoded')

# Integers in JSON may have thousands of digits, and arithmetic with floats
# raises OverflowError for them.
_MAX_MAGNITUDE = 2**63
_DIGITS_AS_ZERO = bytes.maketrans(b'123456789E', b'000000000e')
_LONG_INTEGER = b'0' * 19
_EXPONENT = b'0e'
# Tells exponents of numbers from most of those inside of strings.
_NUMBER_WITH_EXPONENT = re.compile(rb'[:\[,\s]-?0[0.]*e')


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
        The text is not valid, for whatever reason, or a number in it does not
        fit into 64 bits. The decoder itself raises other errors too, such as
        RecursionError for deeply nested text.
    """
    try:
        encoded = text.encode() if isinstance(text, str) else text
        decoded = msgspec.json.decode(encoded, type=kind)
        if _may_have_large_number(encoded):
            _check_numbers(decoded)
    except msgspec.DecodeError:
        raise
    except Exception as error:
        raise msgspec.DecodeError(f'unreadable: {error!r}') from error
    return decoded


def _may_have_large_number(text: bytes) -> bool:
    """Return whether a number in the text may be large; strings may match."""
    shape = text.translate(_DIGITS_AS_ZERO)
    if _LONG_INTEGER in shape:
        return True
    return _EXPONENT in shape and bool(_NUMBER_WITH_EXPONENT.search(shape))


def _check_numbers(decoded: object) -> None:
    pending = [decoded]
    while pending:
        node = pending.pop()
        if isinstance(node, int | float) and abs(node) >= _MAX_MAGNITUDE:
            raise msgspec.ValidationError('a number does not fit into 64 bits')
        pending.extend(_list_parts(node))


def _list_parts(node: object) -> Iterable[object]:
    """Return what a message or a collection consists of; not decoded JSON."""
    if isinstance(node, msgspec.Struct):
        return [getattr(node, name) for name in node.__struct_fields__]
    if isinstance(node, dict):
        return (*node.keys(), *node.values())
    is_collection = isinstance(node, list | tuple | set | frozenset)
    return node if is_collection else ()
