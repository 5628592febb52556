"""Send the log of a process to its standard output."""

import logging as std_logging
import sys

from absl import logging

from ragworthollow.logs.bounded_output import BoundedOutput
from ragworthollow.logs.formatter import JsonFormatter
from ragworthollow.utils.clock import get_monotonic_ms

_LEFT_OUT_EVENT = 'log_lines_left_out'


class BoundedHandler(std_logging.Handler):
    """
    Write records within a rate, errors always.

    Before the next line that is written, one line says how many were left
    out.

    Parameters
    ----------
    output : BoundedOutput
        Where lines go.
    """

    def __init__(self, *, output: BoundedOutput) -> None:
        super().__init__()
        self._output = output

    def emit(self, record: std_logging.LogRecord) -> None:
        """Write one record, or count it as left out."""
        is_error = record.levelno >= std_logging.ERROR
        if not self._output.admit(get_monotonic_ms()) and not is_error:
            return
        left_out = self._output.take_left_out()
        if left_out:
            self._output.write(self._render_left_out(left_out))
        self._output.write(self.format(record).encode())

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        self._output.flush()

    def _render_left_out(self, lines: int) -> bytes:
        note = std_logging.makeLogRecord(
            {
                'msg': _LEFT_OUT_EVENT,
                'levelno': std_logging.WARNING,
                'levelname': 'WARNING',
                'fields': {'step': 'logs', 'lines': lines},
            },
        )
        return self.format(note).encode()


def set_up_logging(*, instance: str) -> None:
    """
    Send the log of this process to standard output as JSON lines.

    Parameters
    ----------
    instance : str
        Name of this process.
    """
    handler = BoundedHandler(
        output=BoundedOutput(descriptor=sys.stdout.fileno()),
    )
    handler.setFormatter(JsonFormatter(instance=instance))
    # The library's own handler announces on standard error that flags were
    # not parsed; this program has none.
    absl_logger = logging.get_absl_logger()
    absl_logger.propagate = False
    for logger in (absl_logger, std_logging.getLogger()):
        logger.handlers.clear()
        logger.addHandler(handler)
        logger.setLevel(std_logging.INFO)
    for noisy in ('aiohttp.access', 'asyncio', 'aiomisc'):
        std_logging.getLogger(noisy).setLevel(std_logging.WARNING)
