"""Write logs as JSON lines through `absl.logging`."""

from ragworthollow.logs.events import log_error, log_event
from ragworthollow.logs.formatter import JsonFormatter, set_up_logging

__all__ = ('JsonFormatter', 'log_error', 'log_event', 'set_up_logging')
