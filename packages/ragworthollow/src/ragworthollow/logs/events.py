"""Log events with typed fields."""

from absl import logging


def log_event(event: str, **fields: object) -> None:
    """
    Log one event at level INFO.

    Parameters
    ----------
    event : str
        Stable name of the event, for searching logs.
    **fields
        Fields of the log line, such as `request_id`, `step` and `peer`.
    """
    logging.get_absl_logger().info(event, extra={'fields': fields})


def log_error(event: str, **fields: object) -> None:
    """
    Log one event at level ERROR.

    Parameters
    ----------
    event : str
        Stable name of the event, for searching logs.
    **fields
        Fields of the log line, such as `request_id`, `step` and `peer`.
    """
    logging.get_absl_logger().error(event, extra={'fields': fields})
