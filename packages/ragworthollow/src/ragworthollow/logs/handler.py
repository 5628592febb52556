"""Write the log of a process to its standard output."""

import logging as std_logging
import sys

from absl import logging

from ragworthollow.logs.bounded_output import BoundedOutput
from ragworthollow.logs.formatter import JsonFormatter
from ragworthollow.utils.clock import get_monotonic_ms

_DROPPED_LINES_EVENT = 'log_lines_left_out'


class BoundedHandler(std_logging.Handler):
    """
    Write records at a limited rate, but errors always.

    When records were dropped, one line with their number is written before
    the next record.

    Parameters
    ----------
    output : BoundedOutput
        Output that the lines are written to.
    """

    def __init__(self, *, output: BoundedOutput) -> None:
        super().__init__()
        self._output = output

    def emit(self, record: std_logging.LogRecord) -> None:
        """Write one record, or drop and count it if over the rate."""
        is_error = record.levelno >= std_logging.ERROR
        if not self._output.admit(get_monotonic_ms()) and not is_error:
            return
        dropped_lines = self._output.pop_dropped_lines()
        if dropped_lines:
            self._output.write(self._render_dropped_lines(dropped_lines))
        self._output.write(self.format(record).encode())

    def flush(self) -> None:
        """Write as much of the buffered output as the descriptor accepts."""
        self._output.flush()

    def _render_dropped_lines(self, lines: int) -> bytes:
        summary = std_logging.makeLogRecord(
            {
                'msg': _DROPPED_LINES_EVENT,
                'levelno': std_logging.WARNING,
                'levelname': 'WARNING',
                'fields': {'step': 'logs', 'lines': lines},
            },
        )
        return self.format(summary).encode()


def set_up_logging(*, instance: str) -> None:
    """
    Configure logging of this process to standard output as JSON lines.

    Parameters
    ----------
    instance : str
        Name of this process.
    """
    handler = BoundedHandler(
        output=BoundedOutput(descriptor=sys.stdout.fileno()),
    )
    handler.setFormatter(JsonFormatter(instance=instance))
    # The default handler of `absl` warns on standard error that flags were
    # not parsed; this program defines no `absl` flags.
    absl_logger = logging.get_absl_logger()
    absl_logger.propagate = False
    for logger in (absl_logger, std_logging.getLogger()):
        logger.handlers.clear()
        logger.addHandler(handler)
        logger.setLevel(std_logging.INFO)
    for name in ('aiohttp.access', 'asyncio', 'aiomisc'):
        std_logging.getLogger(name).setLevel(std_logging.WARNING)
