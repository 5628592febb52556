"""Render a loss account as text."""

from collections import Counter
from collections.abc import Iterator

from ragworthollow_ctl.losses.loss_account import LossAccount
from ragworthollow_ctl.losses.pool_calls import PoolCalls

# Peers and routes beyond this rank get no row of their own; the totals in the
# first line include them.
_MAX_ROWS = 20
_BAR_WIDTH = 40
_PERCENT = 100


def render_account(account: LossAccount) -> Iterator[str]:
    """
    Render the summary, the tables and the bar chart, line by line.

    Parameters
    ----------
    account : LossAccount
        Counts of the requests found in the logs.
    """
    eligible = account.eligible.total()
    lost = account.lost.total()
    late = account.late.total()
    yield (
        f'{eligible} requests,'
        f' {lost} not served ({_render_share(lost, eligible)}),'
        f' {late} late ({_render_share(late, eligible)})'
    )
    if lost:
        yield ''
        yield from _render_causes(account, lost)
    if lost or late:
        yield ''
        yield from _render_routes(account)
    if account.groups:
        yield ''
        yield from _render_groups(account)
    if account.calls_by_pool:
        yield ''
        yield from _render_pools(account)
    yield ''
    yield from _render_seconds(account)


def _render_causes(account: LossAccount, lost: int) -> Iterator[str]:
    yield f'{"not served":24}{"peer":24}{"requests":>9}{"share":>8}'
    for (cause, peer), count in account.causes.most_common(_MAX_ROWS):
        yield f'{cause:24}{peer:24}{count:9}{_render_share(count, lost):>8}'


def _render_routes(account: LossAccount) -> Iterator[str]:
    rows = Counter(account.routes)
    rows.update(account.late)
    yield f'{"route":24}{"not served, or late":24}{"requests":>9}'
    for (route, cause), count in rows.most_common(_MAX_ROWS):
        if count:
            yield f'{route or "-":24}{cause:24}{count:9}'


def _render_groups(account: LossAccount) -> Iterator[str]:
    yield f'{account.grouping:32}{"requests":>9}{"not served":>12}{"late":>8}'
    for group, counts in sorted(account.groups.items()):
        lost = _render_share(counts.lost, counts.requests)
        late = _render_share(counts.late, counts.requests)
        yield f'{group or "-":32}{counts.requests:9}{lost:>12}{late:>8}'


def _render_pools(account: LossAccount) -> Iterator[str]:
    yield (
        f'{"pool":24}{"calls":>7}{"pieces a call":>15}{"most":>6}'
        f'{"queued":>8}  limited by'
    )
    for pool, calls in sorted(account.calls_by_pool.items()):
        yield (
            f'{pool:24}{calls.calls:7}{calls.pieces / calls.calls:15.1f}'
            f'{calls.largest:6}{calls.queued / calls.calls:8.1f}'
            f'  {_render_limits(calls)}'
        )


def _render_limits(calls: PoolCalls) -> str:
    return ', '.join(
        f'{limit} {_render_share(count, calls.calls)}'
        for limit, count in calls.limits.most_common()
    )


def _render_seconds(account: LossAccount) -> Iterator[str]:
    """Draw one bar per second: `=` for served, `x` for not served."""
    if not account.eligible:
        return
    first = min(account.eligible)
    scale = min(1, _BAR_WIDTH / max(account.eligible.values()))
    yield f'{"second":>6}{"requests":>9}{"lost":>6}'
    for second in range(first, max(account.eligible) + 1):
        yield _render_second(
            account.eligible,
            account.lost,
            second,
            first,
            scale,
        )


def _render_second(
    eligible: Counter[int],
    lost: Counter[int],
    second: int,
    first: int,
    scale: float,
) -> str:
    served = round((eligible[second] - lost[second]) * scale)
    bar_text = '=' * served + 'x' * round(lost[second] * scale)
    row = f'{second - first:6}{eligible[second]:9}{lost[second]:6}  {bar_text}'
    return row.rstrip()


def _render_share(count: int, total: int) -> str:
    return f'{count * _PERCENT / total:.1f}%' if total else '-'
