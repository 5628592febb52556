"""Define what may befall a fleet that follows the store."""

from measure.replica_fleet.fleet_plan import Trouble

_BYTES_PER_MBIT = 125_000

_FROM_MS = 7000
_TO_MS = 12_000
_READERS = frozenset(range(3))
# Every third gateway, the first ones that others ask included.
_THIRD = frozenset(range(0, 300, 3))


def _befall(kind: str, gateways: frozenset[int]) -> dict[str, object]:
    trouble = Trouble(
        kind=kind,
        start_ms=_FROM_MS,
        end_ms=_TO_MS,
        gateways=gateways,
    )
    return {'troubles': (trouble,)}


PATTERNS: dict[str, dict[str, object]] = {
    'calm': {},
    'readers-cut': _befall('cut', _READERS),
    'readers-frozen': _befall('frozen', _READERS),
    'third-refused': _befall('refused', _THIRD),
    'store-slow': _befall('slow', frozenset(range(300))),
    'watches-silent': {
        'store_moves': ((_FROM_MS, 'fall_deaf'), (_TO_MS, 'drop_history')),
    },
    'thin-links': {
        'changes_ms': (7000,),
        'change_bytes': 290_000,
        'bytes_per_s': 5 * _BYTES_PER_MBIT,
    },
}
