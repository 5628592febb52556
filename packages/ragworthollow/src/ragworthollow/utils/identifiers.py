"""Make identifiers that carry their time of birth."""

import uuid

import uuid6

_TIMESTAMP_SHIFT = 80
_VERSION_7 = 7


def make_identifier() -> str:
    """
    Make a UUID of version 7.

    Returns
    -------
    str
        The identifier in its canonical text form.
    """
    return str(uuid6.uuid7())


def get_birth_ms(identifier: str) -> int | None:
    """
    Read the time of birth out of a UUID of version 7.

    Parameters
    ----------
    identifier : str
        Canonical text form, as a caller sent it.

    Returns
    -------
    int or None
        Milliseconds since the Unix epoch; None when it is not such a UUID.
    """
    try:
        parsed = uuid.UUID(identifier)
    except ValueError:
        return None
    if parsed.version != _VERSION_7 or str(parsed) != identifier.lower():
        return None
    return parsed.int >> _TIMESTAMP_SHIFT
