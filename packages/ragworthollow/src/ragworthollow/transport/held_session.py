"""Create sessions whose responses keep their connections."""

import aiohttp

from ragworthollow.transport.checked_connector import make_upstream_session
from ragworthollow.transport.held_response import HeldResponse


def make_held_session(identity_header: str) -> aiohttp.ClientSession:
    """
    Create a session for messages to stage instances.

    Parameters
    ----------
    identity_header : str
        Header in which messages and their responses name the message.

    Returns
    -------
    ClientSession
        Session that the caller must close; its responses keep their
        connections until they are released.
    """
    return make_upstream_session(
        identity_header,
        response_class=HeldResponse,
        may_omit_identity=True,
    )
