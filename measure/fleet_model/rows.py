"""Print the results of simulated days."""

import statistics
from collections.abc import Sequence

from rich.console import Console
from rich.table import Table

from measure.fleet_model.outcome import DayReport, KindReport
from ragworthollow.utils.message import Message


class TableRow(Message):
    """Hold the reports of a table row and their mean attainment."""

    name: str
    attained: float
    reports: list[DayReport]
    bound: float | None = None


def print_rows(rows: Sequence[TableRow]) -> None:
    """Print a table of outcomes by kind and utilisation by pool."""
    table = Table()
    table.add_column('days')
    table.add_column('attained')
    table.add_column('bound')
    first = rows[0].reports[0]
    for kind in first.kinds:
        table.add_column(f'{kind}: in time/late/refused')
    for pool in first.pools:
        table.add_column(f'{pool}: busy')
    for row in rows:
        table.add_row(*_make_cells(row, first))
    Console(width=200).print(table)


def _make_cells(row: TableRow, first: DayReport) -> list[str]:
    bound = '' if row.bound is None else f'{row.bound:.3f}'
    return [
        row.name,
        f'{row.attained:.3f}',
        bound,
        *(
            _render_kind([report.kinds[kind] for report in row.reports])
            for kind in first.kinds
        ),
        *(
            _render_use([report.pools[pool].busy for report in row.reports])
            for pool in first.pools
        ),
    ]


def _render_kind(kinds: Sequence[KindReport]) -> str:
    parts = (
        statistics.mean(kind.in_time for kind in kinds),
        statistics.mean(kind.late for kind in kinds),
        statistics.mean(kind.refused for kind in kinds),
    )
    return ' / '.join(f'{part:.2f}' for part in parts)


def _render_use(shares: Sequence[float]) -> str:
    return f'{statistics.mean(shares):.2f}'
