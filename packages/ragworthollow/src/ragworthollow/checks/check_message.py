"""Define the message that a system check reports."""

import enum

from ragworthollow.utils.message import Message


class Severity(enum.StrEnum):
    """Classify findings: errors stop a command, warnings do not."""

    error = 'error'
    warning = 'warning'


class CheckMessage(Message):
    """
    Describe one finding of a check.

    Attributes
    ----------
    check_id : str
        Stable identifier such as `config.E003`.
    text : str
        Description of the problem.
    hint : str
        How to fix the problem.
    where : str
        File and dotted path of the declaration.
    severity : Severity
        Whether the finding is an error or a warning.
    """

    check_id: str
    text: str
    hint: str = ''
    where: str = ''
    severity: Severity = Severity.error
