"""Send one-way notifications to peer gateways."""

import aiohttp

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.membership.gateway_member import GatewayMember
from ragworthollow.transport.bounded_reading import read_bounded
from ragworthollow.transport.timeouts import make_timeout
from ragworthollow_daemon.gateway.context import GatewayContext


async def notify_peer(
    context: GatewayContext,
    peer: GatewayMember,
    path: str,
    body: bytes,
) -> bool:
    """
    Send a notification to a peer gateway.

    Parameters
    ----------
    context : GatewayContext
        Shared state of this gateway.
    peer : GatewayMember
        The receiver.
    path : str
        HTTP path of the notification.
    body : bytes
        The encoded message.

    Returns
    -------
    bool
        False if the notification may not have arrived, which is logged and
        counted.
    """
    try:
        async with context.session.post(
            f'http://{peer.peer_address}{path}',
            data=body,
            timeout=make_timeout(
                global_settings.HOST_PING_TIMEOUT_MS,
                global_settings.PEER_CONNECT_TIMEOUT_MS,
            ),
        ) as response:
            await read_bounded(response, global_settings.MAX_MESSAGE_BYTES)
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        context.metrics.count_event('peer_note_failed')
        log_event(
            'peer_note_failed',
            step=path,
            peer=peer.instance,
            error=repr(error),
        )
        return False
    return True
