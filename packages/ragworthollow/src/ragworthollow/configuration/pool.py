"""Define a pool of upstream instances."""

from ragworthollow.conf import global_settings
from ragworthollow.utils.message import StrictMessage


class Pool(StrictMessage):
    """
    Describe one pool and its limits.

    Attributes
    ----------
    concurrency : int
        Calls that one upstream instance runs concurrently.
    queue_limit : int
        Maximum number of calls queued at one sidecar.
    engine : bool
        Whether the upstreams are model engines that accept orders to load
        and unload models.
    checks_fencing : bool
        Whether its engines refuse an order with an outdated fencing token.
    models : tuple of str
        Models that its engines serve.
    loads_per_minute : int
        Model loads per minute that the weight store sustains, shared by all
        engines.
    """

    concurrency: int = global_settings.DEFAULT_CONCURRENCY
    queue_limit: int = global_settings.QUEUE_LIMIT
    engine: bool = False
    checks_fencing: bool = False
    models: tuple[str, ...] = ()
    loads_per_minute: int = global_settings.LOADS_PER_MINUTE
