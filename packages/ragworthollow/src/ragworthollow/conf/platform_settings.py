"""Define how a process reaches the platform."""

from ragworthollow.utils.message import StrictMessage


class PlatformSettings(StrictMessage):
    """
    Name the platform's services.

    Attributes
    ----------
    kv_url : str
        Base address of the key-value service.
    instances_url : str
        Address of the list of live and leaving instances.
    weights_url : str
        Base address of the weight store, for sidecars of engines.
    prefix : str
        Start of every key that this deployment uses.
    """

    kv_url: str
    instances_url: str
    weights_url: str = ''
    prefix: str = 'ragworthollow/'
