"""List the requests that are quarantined."""

import asyncio
import sys

from ragworthollow.quarantine.operator_messages import (
    QUARANTINE_PATH,
    QuarantinedRequest,
)
from ragworthollow_ctl.gateway_client import ask_gateway

_SECOND_MS = 1000


def quarantine(gateway: str) -> None:
    """
    List requests that are quarantined since they crash what runs them.

    Parameters
    ----------
    gateway
        Metrics address of any gateway, IP:PORT.
    """
    found = asyncio.run(
        ask_gateway(gateway, QUARANTINE_PATH, tuple[QuarantinedRequest, ...]),
    )
    sys.stdout.writelines(
        f'{one.fingerprint}  {one.left_ms / _SECOND_MS:.0f} s'
        f'  {" ".join(one.crashes)}\n'
        for one in found
    )
