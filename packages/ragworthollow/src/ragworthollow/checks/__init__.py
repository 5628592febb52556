"""Define check messages, with stable identifiers and hints."""

from ragworthollow.checks.check_message import CheckMessage, Severity
from ragworthollow.checks.report import has_errors, render_messages

__all__ = ('CheckMessage', 'Severity', 'has_errors', 'render_messages')
