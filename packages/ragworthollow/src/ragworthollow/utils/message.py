"""Define base classes for serialised messages and settings."""

import msgspec


class Message(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    gc=False,
):
    """
    Provide the base of typed messages between processes.

    Unknown fields are ignored, so that processes of different versions can
    communicate during a rolling restart.  `msgspec.Struct` is the frozen
    data class of the codec.
    """


class StrictMessage(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    forbid_unknown_fields=True,
):
    """
    Provide the base of settings and configuration files.

    An unknown field is an error, since it is usually a misspelled field name.
    """
