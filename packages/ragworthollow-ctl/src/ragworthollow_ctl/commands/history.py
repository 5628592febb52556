"""Show the history of configuration changes."""

import asyncio
import datetime as dt
import sys

from ragworthollow.configuration.snapshot import Snapshot
from ragworthollow_ctl.service_client import make_client

_MS_PER_SECOND = 1000


def history(*, entry: list[str] | None = None) -> None:
    """
    Show the accepted changes, newest first.

    Parameters
    ----------
    entry
        Base address of an entry; may be given several times.
    """
    client = make_client(entry or ())
    snapshot = asyncio.run(client.get('snapshot', Snapshot))
    for record in snapshot.manifest.history:
        changed_at = dt.datetime.fromtimestamp(
            record.time_ms / _MS_PER_SECOND,
            tz=dt.UTC,
        )
        files = ' '.join(record.files)
        sys.stdout.write(
            f'{record.generation}  {changed_at:%Y-%m-%d %H:%M:%S}Z'
            f'  {record.operator}  {files}  {record.change_id}\n',
        )
