"""Define what became of requests, and sum it up."""

from collections import Counter
from dataclasses import dataclass

from measure.fleet_model.arrivals import Arrival
from measure.fleet_model.load_sheet import LoadSheet
from ragworthollow.outcomes import Reason
from ragworthollow.utils.message import Message


@dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """Hold what a gateway answered."""

    is_served: bool
    reason: Reason | None = None
    retry_after_ms: float = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestRecord:
    """
    Hold what became of a request.

    Attributes
    ----------
    arrival : Arrival
        The request.
    took_ms : float or None
        From its first try to its first event; None when it was not served.
    tries : int
        How often its caller sent it.
    refused_ms : float or None
        How long its caller was held before the first refusal.
    reason : Reason or None
        Why it was not served.
    """

    arrival: Arrival
    took_ms: float | None
    tries: int
    refused_ms: float | None = None
    reason: Reason | None = None


class KindReport(Message):
    """Sum up one kind of request, as shares of its requests."""

    requests: int
    in_time: float
    late: float
    refused: float
    again: float
    p50_ms: float
    p95_ms: float


class PoolReport(Message):
    """Sum up a stage pool: share of time at work, and pieces a call."""

    busy: float
    pieces: int


class DayReport(Message):
    """
    Sum up a day.

    Attributes
    ----------
    attained : float
        Worth earned as a share of all worth, late answers by their own.
    kinds : dict
        By kind of request.
    pools : dict
        By stage pool.
    tokens_read : int
        Shared prompt tokens that engines had to read.
    """

    attained: float
    kinds: dict[str, KindReport]
    pools: dict[str, PoolReport]
    tokens_read: int = 0


def get_value(sheet: LoadSheet, record: RequestRecord) -> float:
    """Return the worth that a request has earned."""
    kind = sheet.kinds[record.arrival.kind]
    if record.took_ms is None:
        return 0
    if record.took_ms <= kind.objective_ms:
        return kind.worth
    return kind.late_worth


def is_in_time(sheet: LoadSheet, record: RequestRecord) -> bool:
    """Tell whether a request met its objective."""
    objective_ms = sheet.kinds[record.arrival.kind].objective_ms
    return record.took_ms is not None and record.took_ms <= objective_ms


def sum_attained(sheet: LoadSheet, records: list[RequestRecord]) -> float:
    """Return the share of all worth that was earned."""
    owed = sum(sheet.kinds[one.arrival.kind].worth for one in records)
    return sum(get_value(sheet, one) for one in records) / owed


def sum_kinds(
    sheet: LoadSheet,
    records: list[RequestRecord],
) -> dict[str, KindReport]:
    """Sum up each kind."""
    return {
        kind: _sum_kind(
            sheet,
            [one for one in records if one.arrival.kind == kind],
        )
        for kind in sheet.kinds
    }


def _sum_kind(sheet: LoadSheet, records: list[RequestRecord]) -> KindReport:
    took = sorted(one.took_ms for one in records if one.took_ms is not None)
    in_time = sum(is_in_time(sheet, one) for one in records)
    counts = Counter(one.tries for one in records)
    total = max(1, len(records))
    return KindReport(
        requests=len(records),
        in_time=in_time / total,
        late=(len(took) - in_time) / total,
        refused=(len(records) - len(took)) / total,
        again=(len(records) - counts[1]) / total,
        p50_ms=_get_quantile(took, 0.5),
        p95_ms=_get_quantile(took, 0.95),
    )


def _get_quantile(ordered: list[float], share: float) -> float:
    if not ordered:
        return 0
    return ordered[round(share * (len(ordered) - 1))]
