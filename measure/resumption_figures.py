"""Count the streams that began and those that went on after they broke off."""

from collections import Counter, defaultdict

from measure.gateway_fleet import GatewayFleet
from measure.received_events import read_events
from measure.sent_request import Sent

_OK = 200
_MIN_ENGINES = 2
# A request is taken for one of a total loss for so long: the time limit of
# the route.
_AFTER_LOSS_S = 10


def count_resumptions(
    fleet: GatewayFleet, sent: list[Sent], versions: dict[str, str]
) -> dict[str, dict[str, Counter[str]]]:
    """
    Count new streams and resumptions, and how many of them were served.

    Resumptions count while two engines of the software version serve that
    began the stream.

    Parameters
    ----------
    fleet : GatewayFleet
        Where the requests were sent.
    sent : list of Sent
        Requests of callers that resume streams.
    versions : dict
        Version of the first event of each stream.
    """
    figures = defaultdict(lambda: defaultdict(Counter))
    for one in sent:
        is_resumption = bool(one.resumes_request_id)
        if is_resumption and not _has_engines(fleet, one, versions):
            continue
        kind = 'resumed' if is_resumption else 'begun'
        counts = figures[_find_period(fleet, one)][kind]
        counts['sent'] += 1
        counts['served'] += _is_served(one)
        counts[str(one.status)] += 1
    return figures


def find_versions(sent: list[Sent]) -> dict[str, str]:
    """Return the version of the first event of each stream by request."""
    return {
        one.request_id: events[0].version
        for one in sent
        if not one.resumes_request_id and (events := read_stream(one))
    }


def read_stream(sent: Sent) -> list:
    """Return the events of a response; none of one that is no stream."""
    return read_events(sent.body) if sent.status in {_OK, None} else []


def _has_engines(
    fleet: GatewayFleet, sent: Sent, versions: dict[str, str]
) -> bool:
    version = versions[sent.resumes_request_id]
    return fleet.count_engines(version, sent.started_s) >= _MIN_ENGINES


def _find_period(fleet: GatewayFleet, sent: Sent) -> str:
    is_after_loss = any(
        0 <= sent.started_s - loss_s < _AFTER_LOSS_S
        for loss_s in fleet.total_losses_s
    )
    return 'after_total_loss' if is_after_loss else 'other'


def _is_served(sent: Sent) -> bool:
    return sent.status == _OK or bool(read_stream(sent))
