"""Attribute responses of stage instances that name no request."""

from collections.abc import Sequence

import msgspec

from ragworthollow.pieces import PieceCall, PieceResult
from ragworthollow.platform.stage_wire import decode_run, get_producer_address
from ragworthollow_daemon.gateway.attribution import Attribution
from ragworthollow_daemon.gateway.connection_history import ConnectionHistory
from ragworthollow_daemon.gateway.stage_message import Attribute

_OK = 200


def make_call_attribution(call: PieceCall) -> Attribute:
    """
    Return what attributes responses to a call for pieces.

    A response with results names handles, and no two responses name the same
    one.  Since a response without handles ends its connection, no earlier
    response on the connection was such a one.

    Parameters
    ----------
    call : PieceCall
        The call.
    """

    def attribute(
        status: int, body: bytes, history: ConnectionHistory
    ) -> Attribution:
        results = _read_results(status, body)
        if results is None:
            return Attribution.unrepeatable
        handles = [result.handle for result in results if result.handle]
        is_new = history.add(handles)
        if not is_new or find_mismatch(call, results):
            return Attribution.foreign
        return Attribution.distinct if handles else Attribution.unrepeatable

    return attribute


def find_mismatch(call: PieceCall, results: Sequence[PieceResult]) -> str:
    """Return why results cannot be those of a call; empty if they can."""
    if len(results) != len(call.pieces):
        return f'{len(results)} results for {len(call.pieces)} pieces'
    for result in results:
        if result.handle and not _is_produced_by(call, result.handle):
            return f'{result.handle} is not of {call.instance.address}'
    return ''


def attribute_release(
    status: int, body: bytes, _: ConnectionHistory
) -> Attribution:
    """
    Attribute the response to a release of results.

    It is empty of meaning, so that one in place of another does no harm, and
    it cannot be taken for the response to a call.
    """
    if status != _OK:
        return Attribution.unrepeatable
    if _read_results(status, body) is None:
        return Attribution.distinct
    return Attribution.foreign


def attribute_report(
    status: int, body: bytes, _: ConnectionHistory
) -> Attribution:
    """Attribute a report, which nothing distinguishes from an earlier one."""
    if _read_results(status, body) is None:
        return Attribution.unrepeatable
    return Attribution.foreign


def _is_produced_by(call: PieceCall, handle: str) -> bool:
    return get_producer_address(handle) == call.instance.address


def _read_results(status: int, body: bytes) -> tuple[PieceResult, ...] | None:
    """Return the results of a call; None if there are none."""
    if status != _OK:
        return None
    try:
        return decode_run(body)
    except msgspec.DecodeError:
        return None
