"""Define an organisation and its share of the fleet."""

from ragworthollow.utils.message import StrictMessage


class Organisation(StrictMessage):
    """
    Describe one organisation.

    Attributes
    ----------
    key_sha256 : tuple of str
        Hashes of the keys its callers present; several while one rotates.
    guarantee : float
        Share of every pool, 0 to 1, that is its own whenever it asks.
    weight : float
        Relative share of what is idle beyond the guarantees.
    ceiling : float
        Share of a pool, 0 to 1, it never exceeds, even when others idle.
    worth : float
        Weight of one of its requests in the attainment.
    """

    key_sha256: tuple[str, ...]
    guarantee: float = 0
    weight: float = 1.0
    ceiling: float = 1.0
    worth: float = 1.0
