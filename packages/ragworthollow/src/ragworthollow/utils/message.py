"""Define the frozen data classes that cross a wire or a file."""

import msgspec


class Message(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    gc=False,
):
    """
    Be the base of typed messages between processes.

    Unknown fields are ignored, so that versions may differ in a rolling
    restart.  `msgspec.Struct` is the frozen data class of the codec used.
    """


class StrictMessage(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    forbid_unknown_fields=True,
):
    """
    Be the base of settings and configuration written by people.

    An unknown field is an error, since it is most often a misspelt one.
    """
