"""Define the shares of organisations."""

from collections.abc import Iterable, Mapping
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

    guarantee: float = 0
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


def get_entitlement(
    shares: Mapping[str, Share],
    organisation: str,
    active: Iterable[str],
) -> float:
    """
    Return what an organisation may use while others are active.

    Parameters
    ----------
    shares : mapping
        Shares by organisation.
    organisation : str
        Whose entitlement it is.
    active : iterable of str
        Organisations that hold or want slots at present.

    Returns
    -------
    float
        Share of the upstream, 0 to 1: its guarantee and its part of what
        the active ones' guarantees leave.
    """
    names = {organisation, *active}
    known = {name: shares.get(name, DEFAULT_SHARE) for name in names}
    guaranteed = sum(share.guarantee for share in known.values())
    weights = sum(share.weight for share in known.values())
    own = known[organisation]
    lent = max(0, 1 - guaranteed) * own.weight / weights
    return min(own.guarantee + lent, own.ceiling)
