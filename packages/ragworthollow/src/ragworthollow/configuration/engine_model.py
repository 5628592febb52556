"""Define a model that engines can load."""

from ragworthollow.utils.message import StrictMessage


class EngineModel(StrictMessage):
    """
    Describe one model.

    Attributes
    ----------
    version : str
        Version to be loaded; a change of it is a rolling model change.
    adapters : tuple of str
        Adapters that may be asked for on it.
    size_bytes : int
        Size in the weight store.
    replicas : int
        Engines of a pool that carry it; 0 means all.
    """

    version: str
    adapters: tuple[str, ...] = ()
    size_bytes: int = 1
    replicas: int = 0
