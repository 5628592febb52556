"""Define the settings of an operator who may change the configuration."""

from ragworthollow.utils.message import StrictMessage


class OperatorSettings(StrictMessage):
    """
    Configure one operator.

    Attributes
    ----------
    name : str
        Owner name of the configuration files that the operator may write.
    key_sha256 : str
        SHA-256 hash of the key with which the operator authenticates.
    """

    name: str
    key_sha256: str
