"""Define the faults to inject into a simulated fleet."""

from measure.replica_fleet.fleet_plan import Trouble

_BYTES_PER_MBIT = 125_000

_FAULT_START_MS = 7000
_FAULT_END_MS = 12_000
_READERS = frozenset(range(3))
# Every third gateway, which includes the first of those that others ping.
_EVERY_THIRD = frozenset(range(0, 300, 3))


def _make_fault(kind: str, gateways: frozenset[int]) -> dict[str, object]:
    fault = Trouble(
        kind=kind,
        start_ms=_FAULT_START_MS,
        end_ms=_FAULT_END_MS,
        gateways=gateways,
    )
    return {'troubles': (fault,)}


PATTERNS: dict[str, dict[str, object]] = {
    'calm': {},
    'readers-cut': _make_fault('cut', _READERS),
    'readers-frozen': _make_fault('frozen', _READERS),
    'third-refused': _make_fault('refused', _EVERY_THIRD),
    'store-slow': _make_fault('slow', frozenset(range(300))),
    'watches-silent': {
        'store_moves': (
            (_FAULT_START_MS, 'fall_deaf'),
            (_FAULT_END_MS, 'drop_history'),
        ),
    },
    'thin-links': {
        'changes_ms': (7000,),
        'change_bytes': 290_000,
        'bytes_per_s': 5 * _BYTES_PER_MBIT,
    },
}
