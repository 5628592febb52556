"""Define the faults of an engine that occur with some of its requests."""

import enum


class EngineFault(enum.StrEnum):
    """
    Name a fault.

    `second_rejection` and `second_answer` send the response before once more
    where the next one on the connection is expected, if it says that a request
    was not executed and otherwise; `idle_answer` does so while none is
    expected. `endless_head` and `endless_body` go on until the caller closes.
    """

    second_rejection = 'second_rejection'
    second_answer = 'second_answer'
    idle_answer = 'idle_answer'
    hang = 'hang'
    reset = 'reset'
    endless_head = 'endless_head'
    endless_body = 'endless_body'
