"""Define outcomes of requests and aggregate them."""

from collections import Counter
from dataclasses import dataclass

from measure.fleet_model.arrivals import Arrival
from measure.fleet_model.load_sheet import LoadSheet
from ragworthollow.outcomes import Reason
from ragworthollow.utils.message import Message


@dataclass(frozen=True, kw_only=True, slots=True)
class GatewayResponse:
    """Hold the response of a gateway."""

    is_served: bool
    reason: Reason | None = None
    retry_after_ms: float = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestRecord:
    """
    Hold the outcome of a request.

    Attributes
    ----------
    arrival : Arrival
        The request.
    took_ms : float or None
        Time from its arrival to its first event; None if it was not served.
    attempts : int
        Number of times that its caller sent it.
    refused_ms : float or None
        Time from its arrival to the first refusal; None if never refused.
    reason : Reason or None
        Reason why it was not served.
    """

    arrival: Arrival
    took_ms: float | None
    attempts: int
    refused_ms: float | None = None
    reason: Reason | None = None


class KindReport(Message):
    """Summarise a kind of requests, as fractions of its requests."""

    requests: int
    in_time: float
    late: float
    refused: float
    again: float
    p50_ms: float
    p95_ms: float


class PoolReport(Message):
    """Summarise a stage pool: utilisation and completed pieces."""

    busy: float
    pieces: int


class DayReport(Message):
    """
    Summarise a day.

    Attributes
    ----------
    attained : float
        Earned share of the total worth; late responses earn `late_worth`.
    kinds : dict
        Reports by kind of request.
    pools : dict
        Reports by stage pool.
    tokens_read : int
        Shared prompt tokens that engines read because of cache misses.
    """

    attained: float
    kinds: dict[str, KindReport]
    pools: dict[str, PoolReport]
    tokens_read: int = 0


def get_earned_worth(sheet: LoadSheet, record: RequestRecord) -> float:
    """Return the worth that a request earned."""
    kind = sheet.kinds[record.arrival.kind]
    if record.took_ms is None:
        return 0
    if record.took_ms <= kind.objective_ms:
        return kind.worth
    return kind.late_worth


def is_within_objective(sheet: LoadSheet, record: RequestRecord) -> bool:
    """Return whether a request met its latency objective."""
    objective_ms = sheet.kinds[record.arrival.kind].objective_ms
    return record.took_ms is not None and record.took_ms <= objective_ms


def sum_attained(sheet: LoadSheet, records: list[RequestRecord]) -> float:
    """Return the earned share of the total worth."""
    total_worth = sum(
        sheet.kinds[record.arrival.kind].worth for record in records
    )
    return (
        sum(get_earned_worth(sheet, record) for record in records) / total_worth
    )


def summarise_kinds(
    sheet: LoadSheet,
    records: list[RequestRecord],
) -> dict[str, KindReport]:
    """Return a report for each kind of request."""
    return {
        kind: _summarise_kind(
            sheet,
            [record for record in records if record.arrival.kind == kind],
        )
        for kind in sheet.kinds
    }


def _summarise_kind(
    sheet: LoadSheet, records: list[RequestRecord]
) -> KindReport:
    latencies_ms = sorted(
        record.took_ms for record in records if record.took_ms is not None
    )
    in_time = sum(is_within_objective(sheet, record) for record in records)
    attempt_counts = Counter(record.attempts for record in records)
    count = max(1, len(records))
    return KindReport(
        requests=len(records),
        in_time=in_time / count,
        late=(len(latencies_ms) - in_time) / count,
        refused=(len(records) - len(latencies_ms)) / count,
        again=(len(records) - attempt_counts[1]) / count,
        p50_ms=_get_quantile(latencies_ms, 0.5),
        p95_ms=_get_quantile(latencies_ms, 0.95),
    )


def _get_quantile(ordered: list[float], share: float) -> float:
    if not ordered:
        return 0
    return ordered[round(share * (len(ordered) - 1))]
