"""Format log records as JSON lines."""

import logging as std_logging

import msgspec

from ragworthollow.utils.clock import get_wall_ms


class JsonFormatter(std_logging.Formatter):
    """
    Render each record as a JSON object on one line.

    Parameters
    ----------
    instance : str
        Name of this process, included in every line.
    """

    def __init__(self, *, instance: str) -> None:
        super().__init__()
        self._instance = instance

    def format(self, record: std_logging.LogRecord) -> str:
        """Return the JSON object of a record."""
        line = {
            'time_ms': round(get_wall_ms(), 1),
            'level': record.levelname.lower(),
            'instance': self._instance,
            'event': record.getMessage(),
            **getattr(record, 'fields', {}),
        }
        if record.exc_info:
            line['traceback'] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()
