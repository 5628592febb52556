"""Measure the waits of resumptions: `python -m measure.resumption_reads`."""

import cyclopts

from measure.resumption_reads.model import ReadModel
from measure.resumption_reads.pattern import PATTERNS
from ragworthollow.conf import global_settings

_FLEET_SIZES = (4, 30, 100, 200, 300, 410)
_MEDIAN = 0.5
_HIGH = 0.99
_MILLISECONDS = 1000

app = cyclopts.App(
    name='resumption_reads', help='Waits of callers who resume streams.'
)


@app.default
def main(
    *,
    reads_per_s: float = global_settings.RESUME_VERSION_READS_PER_S,
    seed: int = 1,
    gateways: tuple[int, ...] = _FLEET_SIZES,
) -> None:
    """Print the shares of resumptions and their waits for each pattern."""
    print(
        '| pattern | gateways | unread | refused | lost | wait ms | reads/s |'
    )
    print('| --- | --- | --- | --- | --- | --- | --- |')
    for name, pattern in PATTERNS.items():
        for size in gateways:
            outcome = ReadModel(
                gateways=size,
                pattern=pattern,
                reads_per_s=reads_per_s,
                seed=seed,
            ).play()
            shares = [
                f'{outcome.get_share(column):.3f}'
                for column in ('unread', 'refused', 'lost')
            ]
            waits = [
                f'{outcome.get_wait_ms(share):.0f}'
                for share in (_MEDIAN, _HIGH)
            ]
            reads = f'{max(outcome.reads.values())}'
            cells = (name, f'{size}', *shares, '; '.join(waits), reads)
            print(f'| {" | ".join(cells)} |', flush=True)


if __name__ == '__main__':
    app()
