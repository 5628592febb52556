"""Run the stand-ins listed in a file, all in one process."""

import asyncio
import sys
from pathlib import Path

import msgspec
import uvloop
from aiohttp import web

from tests.standins.engine import EngineStandin
from tests.standins.instances import InstancesStandin
from tests.standins.key_value import KeyValueStandin
from tests.standins.pool import PoolStandin
from tests.standins.weights import WeightsStandin

_KINDS = {
    'key_value': KeyValueStandin,
    'instances': InstancesStandin,
    'weights': WeightsStandin,
    'engine': EngineStandin,
    'pool': PoolStandin,
}


async def serve(specification: list[dict]) -> None:
    for entry in specification:
        standin = _KINDS[entry['kind']](**entry.get('options', {}))
        runner = web.AppRunner(
            standin.make_application(),
            access_log=None,
            handler_cancellation=True,
        )
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', entry['port']).start()
    print('serving', flush=True)
    await asyncio.Event().wait()


if __name__ == '__main__':
    uvloop.run(serve(msgspec.json.decode(Path(sys.argv[1]).read_bytes())))
