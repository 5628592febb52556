"""Run a deployment to be tried by hand; it ends by itself."""

import asyncio
import sys
from typing import Annotated

import cyclopts

from measure.fleet import Fleet, get_caller_key
from measure.fleet_plan import HOST
from ragworthollow.utils import make_identifier

app = cyclopts.App(name='serve', help='Run a deployment to be tried by hand.')


async def serve(deployment: str, minutes: float) -> None:
    fleet = Fleet(deployment, seed=1)
    try:
        await fleet.start()
        pipeline = {
            'kingston': ('certificate-drafting', 'bluefields'),
            'riga': ('diff-review', 'release-team'),
        }[deployment]
        print(f'logs and settings: {fleet.folder}')
        for one in fleet.plan.instances:
            print(f'{one.name:20} http://{one.address}')
        print(
            f'\ncurl -s http://{HOST}:{fleet.entries[0].port}'
            f'/v1/pipelines/{pipeline[0]}'
            f" -H 'Authorization: Bearer {get_caller_key(pipeline[1])}'"
            f" -H 'Idempotency-Key: {make_identifier()}'"
            ' -d \'{"deadline_ms": 3000, "inputs":'
            ' {"encode": {"subject": "bale-17"}}}\'',
            flush=True,
        )
        await asyncio.sleep(minutes * 60)
    finally:
        await fleet.stop()


@app.default
def main(
    deployment: Annotated[str, cyclopts.Parameter(help='kingston or riga')],
    *,
    minutes: float = 10,
) -> None:
    try:
        asyncio.run(serve(deployment, minutes))
    except KeyboardInterrupt:
        sys.exit(0)


if __name__ == '__main__':
    app()
