"""Race hedged attempts and cancel the ones that lose."""

import asyncio

from ragworthollow.outcomes import Outcome
from ragworthollow.transport import StageAnswer


def cancel_all(running: set[asyncio.Task]) -> None:
    """Cancel attempts; a closed connection makes the sidecar stop."""
    for task in running:
        task.cancel()


async def wait_for_first_success(running: set[asyncio.Task]) -> StageAnswer:
    """Return the first complete result, or else the last refusal."""
    pending = set(running)
    answer = None
    while pending:
        done, pending = await asyncio.wait(
            pending,
            return_when=asyncio.FIRST_COMPLETED,
        )
        answer = min((task.result() for task in done), key=_is_incomplete)
        if answer.outcome is Outcome.done:
            break
    return answer


def _is_incomplete(answer: StageAnswer) -> bool:
    return answer.outcome is not Outcome.done
