"""Write logs as JSON lines through `absl.logging`."""

from ragworthollow.logs.bounded_output import BoundedOutput
from ragworthollow.logs.events import log_error, log_event
from ragworthollow.logs.formatter import JsonFormatter
from ragworthollow.logs.handler import BoundedHandler, set_up_logging

__all__ = (
    'BoundedHandler',
    'BoundedOutput',
    'JsonFormatter',
    'log_error',
    'log_event',
    'set_up_logging',
)
