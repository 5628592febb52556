"""Define a model that engines can load."""

from ragworthollow.utils.message import StrictMessage


class EngineModel(StrictMessage):
    """
    Describe one model and its adapters.

    Attributes
    ----------
    version : str
        Version to load; changing it starts a rolling update of the engines.
    adapters : tuple of str
        Names of the adapters that stages may use with it.
    size_bytes : int
        Size in the weight store.
    replicas : int
        Number of engines of a pool that serve the model; 0 means all.
    """

    version: str
    adapters: tuple[str, ...] = ()
    size_bytes: int = 1
    replicas: int = 0
