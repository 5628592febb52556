"""Define the four outcomes of an attempt."""

import enum


class Outcome(enum.StrEnum):
    """Describe what is known about the effect of an attempt."""

    done = 'done'
    """The complete response was received."""

    not_run = 'not_run'
    """No upstream ran the request, and the reporting process can prove it."""

    failed = 'failed'
    """The upstream ran the request and responded with an error."""

    unknown = 'unknown'
    """The request may have run."""
