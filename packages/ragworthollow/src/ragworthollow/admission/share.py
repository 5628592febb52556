"""Define the shares of organisations."""

from collections.abc import Mapping
from dataclasses import dataclass

from ragworthollow.configuration.organisation import Organisation


@dataclass(frozen=True, kw_only=True, slots=True)
class Share:
    """
    Hold what an organisation may use of one upstream.

    Attributes
    ----------
    guarantee : float
        Share, 0 to 1, that is its own whenever it asks.
    weight : float
        Relative share of what others leave idle.
    ceiling : float
        Share, 0 to 1, never to be exceeded.
    """

    guarantee: float = 0.0
    weight: float = 1.0
    ceiling: float = 1.0


DEFAULT_SHARE = Share()


def get_shares(
    organisations: Mapping[str, Organisation],
) -> dict[str, Share]:
    """
    Derive the shares from the configuration.

    Parameters
    ----------
    organisations : mapping
        Declared organisations by name.

    Returns
    -------
    dict
        Share of each organisation.
    """
    return {
        name: Share(
            guarantee=organisation.guarantee,
            weight=organisation.weight,
            ceiling=organisation.ceiling,
        )
        for name, organisation in organisations.items()
    }
