"""Name the patterns of load and failure that are played."""

from measure.fleet_model.load_sheet import (
    Burst,
    GatewayFault,
    LoadSheet,
    LostInstance,
    Pattern,
    SlowInstance,
)

# A day of the model; as long as a day of the users' bench.
SPAN_MS = 34_000
# Bursts of 1.5 to 2.5 times a kind for 4 to 7 s, instances that are five times
# as slow for 4 to 6 s and some that are taken away for good are the troubles
# that the users list.
_BURST_MS = 6_000
_TROUBLE_MS = 6_000
_BURST = 2.3
_ALL_BURST = 1.6
_SLOW = 5.0
_FIRST_MS = 5_000
_SECOND_MS = 16_000
_LAST_MS = 26_000
_TROUBLE_START_MS = 11_000
# Until killed processes are back and have read what they need.
_RESTART_MS = 1_500


def make_patterns(sheet: LoadSheet) -> dict[str, Pattern]:
    """
    Make the patterns for a deployment.

    Parameters
    ----------
    sheet : LoadSheet
        Whose kinds burst and whose pools have troubles.

    Returns
    -------
    dict
        Patterns by name.
    """
    by_worth = sorted(
        sheet.kinds,
        key=lambda name: -sheet.kinds[name].worth,
    )
    bursts = (
        _make_burst(by_worth[0], _FIRST_MS, _BURST),
        _make_burst(by_worth[1], _SECOND_MS, _BURST),
        _make_burst('', _LAST_MS, _ALL_BURST),
    )
    pools = list(sheet.pools)
    found = [
        Pattern(name='calm'),
        Pattern(name='bursts', bursts=bursts),
        *(
            Pattern(name=f'lost-{pool}', bursts=bursts, lost=(_lose(pool),))
            for pool in pools
        ),
        *(
            Pattern(name=f'slow-{pool}', bursts=bursts, slow=(_slow(pool),))
            for pool in pools
        ),
        *(
            Pattern(
                name=f'host-{kind}',
                bursts=bursts,
                gateway_fault=GatewayFault(
                    kind=kind,
                    start_ms=_FIRST_MS + _BURST_MS / 2,
                    end_ms=_FIRST_MS + _BURST_MS / 2 + _TROUBLE_MS,
                ),
            )
            for kind in ('kill', 'freeze', 'cut')
        ),
        Pattern(
            name='all-killed',
            bursts=bursts,
            all_killed=GatewayFault(
                kind='kill',
                start_ms=_SECOND_MS + _BURST_MS / 2,
                end_ms=_SECOND_MS + _BURST_MS / 2 + _RESTART_MS,
            ),
        ),
    ]
    return {one.name: one for one in found}


def _make_burst(kind: str, start_ms: float, factor: float) -> Burst:
    return Burst(
        kind=kind,
        start_ms=start_ms,
        end_ms=start_ms + _BURST_MS,
        factor=factor,
    )


def _lose(pool: str) -> LostInstance:
    return LostInstance(
        pool=pool,
        number=0,
        start_ms=_TROUBLE_START_MS,
        end_ms=SPAN_MS,
    )


def _slow(pool: str) -> SlowInstance:
    return SlowInstance(
        pool=pool,
        number=0,
        start_ms=_TROUBLE_START_MS,
        end_ms=_TROUBLE_START_MS + _TROUBLE_MS,
        factor=_SLOW,
    )
