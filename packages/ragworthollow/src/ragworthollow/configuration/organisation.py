"""Define an organisation and its share of the capacity."""

from ragworthollow.utils.message import StrictMessage


class Organisation(StrictMessage):
    """
    Describe one organisation, its keys and its capacity shares.

    Attributes
    ----------
    key_sha256 : tuple of str
        SHA-256 of the keys its callers authenticate with; more than one
        during key rotation.
    guarantee : float
        Share of every pool, from 0 to 1, that is available to it on demand.
    weight : float
        Relative share of the idle capacity beyond the guarantees.
    ceiling : float
        Share of a pool, from 0 to 1, that it never exceeds, even when other
        organisations are idle.
    worth : float
        Weight of each of its requests in the attainment.
    """

    key_sha256: tuple[str, ...]
    guarantee: float = 0
    weight: float = 1.0
    ceiling: float = 1.0
    worth: float = 1.0
