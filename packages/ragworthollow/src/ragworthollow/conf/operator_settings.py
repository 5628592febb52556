"""Define an operator who may change configuration."""

from ragworthollow.utils.message import StrictMessage


class OperatorSettings(StrictMessage):
    """
    Describe one operator.

    Attributes
    ----------
    name : str
        Owner name of the files this operator may write.
    key_sha256 : str
        Hash of the key the operator presents.
    """

    name: str
    key_sha256: str
