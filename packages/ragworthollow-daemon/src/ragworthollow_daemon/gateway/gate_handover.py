"""Hand the gates over that another gateway hosts from now on."""

from collections.abc import Iterable

import msgspec

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.membership.gateway_member import GatewayMember
from ragworthollow.membership.gateway_members import GatewayMembers
from ragworthollow.pieces import ForeignCall, KeptResult, PieceGate
from ragworthollow.transport.piece_messages import (
    ForeignCallMessage,
    GateTransfer,
    KeptResultMessage,
)
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.gate_book import GateBook
from ragworthollow_daemon.gateway.peer_notes import tell_peer

_STEP = 'pieces'
TRANSFER_PATH = '/v1/gates/transfer'


class GateHandover:
    """
    Tell the new host of a gate what its earlier one has in hand.

    Two gates of one pool that do not know of each other fill the same
    instances: calls wait behind calls, results find no space, and requests
    lose the work of their stages.  While gateways restart in turn this goes
    on for seconds.  So a gate whose host has changed sends its queue back to
    the askers, and tells the new host of its calls and results.

    Parameters
    ----------
    context : GatewayContext
        Of this process.
    members : GatewayMembers
        Who hosts which gate.
    gates : GateBook
        Gates of this process.
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        members: GatewayMembers,
        gates: GateBook,
    ) -> None:
        self._context = context
        self._members = members
        self._gates = gates
        self._hosted: set[str] = set()
        self._told: set[str] = set()

    def check(self) -> None:
        """Hand over what is no longer hosted here."""
        for pool in self._gates.get_pools():
            host = self._members.find_host(pool)
            if host is None:
                self._hosted.add(pool)
            else:
                self._hand_over(pool, self._gates.get(pool), host)

    def take(self, transfer: GateTransfer) -> None:
        """Take what another gateway has in hand for a pool."""
        now_ms = get_monotonic_ms()
        gate = self._gates.get(transfer.pool)
        if transfer.calls is not None:
            gate.running.learn(
                transfer.source,
                _read_calls(transfer.calls, now_ms),
            )
        for kept in transfer.kept:
            gate.room.keep(
                KeptResult(
                    handle=kept.handle,
                    instance=kept.instance,
                    result_bytes=kept.result_bytes,
                    until_ms=now_ms + kept.left_ms,
                    asker=kept.asker,
                ),
            )

    def _hand_over(
        self,
        pool: str,
        gate: PieceGate,
        host: GatewayMember,
    ) -> None:
        if pool in self._hosted:
            self._hosted.discard(pool)
            self._release(pool, gate, host)
        calls = _describe_calls(gate)
        now_ms = get_monotonic_ms()
        kept = describe_results(gate.room.take_all(), now_ms)
        if calls or kept or pool in self._told:
            transfer = GateTransfer(
                pool=pool,
                source=self._context.settings.instance,
                calls=calls,
                kept=kept,
            )
            self._context.spawn(self._send(host, transfer))
        # The last one of a row tells that no call is running any more.
        if calls:
            self._told.add(pool)
        else:
            self._told.discard(pool)

    def _release(
        self,
        pool: str,
        gate: PieceGate,
        host: GatewayMember,
    ) -> None:
        queued = gate.get_depth()
        gate.release_queue()
        log_event(
            'gate_handed_over',
            step=_STEP,
            pool=pool,
            peer=host.instance,
            queued=queued,
            calls=len(gate.running.own),
        )

    async def _send(self, host: GatewayMember, transfer: GateTransfer) -> None:
        # A host that is not told meets instances that are fuller than it knows.
        body = msgspec.json.encode(transfer)
        await tell_peer(self._context, host, TRANSFER_PATH, body)


def _describe_calls(gate: PieceGate) -> tuple[ForeignCallMessage, ...]:
    return tuple(
        ForeignCallMessage(
            instance=call.instance.instance,
            result_bytes=sum(
                waiting.piece.result_bytes for waiting in call.waiting
            ),
        )
        for call in gate.running.own
    )


def describe_results(
    results: Iterable[KeptResult],
    now_ms: float,
) -> tuple[KeptResultMessage, ...]:
    """
    Describe results that still take space to another gateway.

    Parameters
    ----------
    results : iterable of KeptResult
        Results of one pool.
    now_ms : float
        Time on the monotonic clock.
    """
    return tuple(
        KeptResultMessage(
            handle=one.handle,
            instance=one.instance,
            result_bytes=one.result_bytes,
            left_ms=one.until_ms - now_ms,
            asker=one.asker,
        )
        for one in results
        if one.until_ms > now_ms
    )


def _read_calls(
    calls: Iterable[ForeignCallMessage],
    now_ms: float,
) -> list[ForeignCall]:
    return [
        ForeignCall(
            instance=one.instance,
            result_bytes=one.result_bytes,
            until_ms=now_ms + global_settings.FOREIGN_CALL_MS,
        )
        for one in calls
    ]
