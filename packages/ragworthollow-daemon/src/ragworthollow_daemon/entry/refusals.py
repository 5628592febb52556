"""Build the refusals of an entry."""

from ragworthollow.outcomes import Outcome, Reason, Refusal
from ragworthollow_daemon.entry.admitted_request import AdmittedRequest
from ragworthollow_daemon.entry.messages import PipelineAnswer


def refuse_request(
    request: AdmittedRequest,
    refusal: Refusal,
    *,
    is_safe: bool | None = None,
) -> PipelineAnswer:
    """
    Build the answer to a request without a complete result.

    Parameters
    ----------
    request : AdmittedRequest
        Request to answer.
    refusal : Refusal
        Refusal to return to the caller.
    is_safe : bool or None
        Whether a retry without a key cannot repeat an effect; by default
        true only for outcome `not_run`.

    Returns
    -------
    PipelineAnswer
        Answer with the outcome of the refusal.
    """
    if is_safe is None:
        is_safe = refusal.outcome is Outcome.not_run
    return PipelineAnswer(
        request_id=request.request_id,
        outcome=refusal.outcome,
        refusal=refusal,
        safe_to_retry=is_safe,
    )


def make_refusal(
    instance: str,
    step: str,
    reason: Reason,
    detail: str,
) -> Refusal:
    """
    Build a refusal of work that was not run.

    Parameters
    ----------
    instance : str
        Entry that refuses.
    step : str
        Step at which the refusal arose.
    reason : Reason
        Reason code.
    detail : str
        Human-readable explanation in one sentence.

    Returns
    -------
    Refusal
        Refusal with outcome `not_run`.
    """
    return Refusal(
        outcome=Outcome.not_run,
        reason=reason,
        step=step,
        peer=instance,
        detail=detail,
    )
