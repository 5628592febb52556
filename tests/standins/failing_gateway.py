"""Run a gateway of which several background loops fail at the same moment."""

import asyncio
import sys
from pathlib import Path

from ragworthollow.conf.loading import load_settings
from ragworthollow.logs import set_up_logging
from ragworthollow_daemon.gateway.service import GatewayService
from ragworthollow_daemon.run_service import run_service


class FailingGateway(GatewayService):
    """
    Let loops of a gateway fail as soon as it has started.

    Parameters
    ----------
    loops : int
        Number of loops that fail.
    """

    loops: int

    async def start(self) -> None:
        await super().start()
        for _ in range(self.loops):
            self._role.context.spawn_loop(_fail())


async def _fail() -> None:
    await asyncio.sleep(0)
    raise ValueError


def main() -> None:
    settings = load_settings(Path(sys.argv[1])).ok_value
    set_up_logging(instance=settings.instance)
    run_service(FailingGateway(settings=settings, loops=int(sys.argv[2])))


if __name__ == '__main__':
    main()
