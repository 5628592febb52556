"""Define the settings of the platform's services."""

from ragworthollow.utils.message import StrictMessage


class PlatformSettings(StrictMessage):
    """
    Configure the addresses of the platform's services.

    Attributes
    ----------
    kv_url : str
        Base URL of the key-value service.
    instances_url : str
        URL of the list of instances, live and shutting down.
    weights_url : str
        Base URL of the weight store; used by the sidecars of engines.
    prefix : str
        Prefix of every key that this deployment uses.
    """

    kv_url: str
    instances_url: str
    weights_url: str = ''
    prefix: str = 'ragworthollow/'
