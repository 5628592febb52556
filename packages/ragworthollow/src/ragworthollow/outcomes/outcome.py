"""Define the four ways an attempt ends."""

import enum


class Outcome(enum.StrEnum):
    """State what is known about the effect of an attempt."""

    done = 'done'
    """The whole answer is present."""

    not_run = 'not_run'
    """Nothing reached an upstream, and whoever says so can prove it."""

    failed = 'failed'
    """The upstream ran it and answered with an error."""

    unknown = 'unknown'
    """It may have run."""
