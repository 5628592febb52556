"""Let a request in again."""

import asyncio
import sys

from ragworthollow.quarantine.operator_messages import (
    RELEASE_PATH,
    ReleaseRequest,
    ReleaseResponse,
)
from ragworthollow_ctl.gateway_client import ask_gateway

_UNKNOWN = 1


def release(fingerprint: str, gateway: str) -> None:
    """
    Let a request in again at every gateway; exit 1 when it was not quarantined.

    Parameters
    ----------
    fingerprint
        The request, as `ragworthctl quarantine` lists it.
    gateway
        Metrics address of any gateway, IP:PORT; it tells the others.
    """
    answer = asyncio.run(
        ask_gateway(
            gateway,
            RELEASE_PATH,
            ReleaseResponse,
            ReleaseRequest(fingerprint=fingerprint),
        ),
    )
    if not answer.is_released:
        sys.stderr.write(f'nothing is known against {fingerprint}\n')
        sys.exit(_UNKNOWN)
