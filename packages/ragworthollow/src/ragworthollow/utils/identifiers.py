"""Create identifiers that contain their creation time."""

import uuid

import uuid6

_TIMESTAMP_SHIFT = 80
_VERSION_7 = 7


def make_identifier() -> str:
    """
    Create a UUID of version 7.

    Returns
    -------
    str
        Identifier in canonical text form.
    """
    return str(uuid6.uuid7())


def get_creation_ms(identifier: str) -> int | None:
    """
    Extract the creation time from a UUID of version 7.

    Parameters
    ----------
    identifier : str
        Identifier in canonical text form, as received from a caller.

    Returns
    -------
    int or None
        Milliseconds since the Unix epoch; None when the identifier is not a
        canonical UUID of version 7.
    """
    try:
        parsed = uuid.UUID(identifier)
    except ValueError:
        return None
    if parsed.version != _VERSION_7 or str(parsed) != identifier.lower():
        return None
    return parsed.int >> _TIMESTAMP_SHIFT
