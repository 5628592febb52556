"""Define a pool of upstream instances."""

from ragworthollow.conf import global_settings
from ragworthollow.utils.message import StrictMessage


class Pool(StrictMessage):
    """
    Describe one pool.

    Attributes
    ----------
    concurrency : int
        Calls one upstream instance runs side by side.
    queue_limit : int
        Calls that wait at most before one sidecar.
    engine : bool
        Whether the upstreams are model engines that take orders.
    checks_fencing : bool
        Whether its engines refuse an order with an old fencing number.
    models : tuple of str
        Models that its engines carry.
    loads_per_minute : int
        Rate of the weight store, shared by all engines.
    """

    concurrency: int = global_settings.DEFAULT_CONCURRENCY
    queue_limit: int = global_settings.QUEUE_LIMIT
    engine: bool = False
    checks_fencing: bool = False
    models: tuple[str, ...] = ()
    loads_per_minute: int = global_settings.LOADS_PER_MINUTE
