"""Define what gateways tell each other about an engine."""

from ragworthollow.utils.message import Message


class EngineReport(Message):
    """
    Describe an engine and the requests of one or several gateways there.

    Attributes
    ----------
    requests : int
        Requests in progress.
    unread_tokens : int
        Prompt tokens of the requests that have no event yet.
    work_time_ratio : float or None
        Usual work time that the engine has reported, relative to that of other
        engines; None if it has reported none.
    """

    requests: int = 0
    unread_tokens: int = 0
    work_time_ratio: float | None = None


def merge_reports(first: EngineReport, second: EngineReport) -> EngineReport:
    """Return one report on the requests of two sets of gateways."""
    ratios = [
        report.work_time_ratio
        for report in (first, second)
        if report.work_time_ratio is not None
    ]
    return EngineReport(
        requests=first.requests + second.requests,
        unread_tokens=first.unread_tokens + second.unread_tokens,
        work_time_ratio=min(ratios, default=None),
    )
