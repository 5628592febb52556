"""Define what a system check reports."""

import enum

from ragworthollow.utils.message import Message


class Severity(enum.StrEnum):
    """Tell whether a finding stops the command."""

    error = 'error'
    warning = 'warning'


class CheckMessage(Message):
    """
    Report one finding.

    Attributes
    ----------
    check_id : str
        Stable identifier such as `config.E003`.
    text : str
        What is wrong.
    hint : str
        What to do about it.
    where : str
        File and dotted path.
    severity : Severity
        Errors stop a command, warnings do not.
    """

    check_id: str
    text: str
    hint: str = ''
    where: str = ''
    severity: Severity = Severity.error
