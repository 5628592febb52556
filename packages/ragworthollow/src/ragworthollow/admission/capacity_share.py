"""Define the capacity shares of organisations."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ragworthollow.configuration.organisation import Organisation


@dataclass(frozen=True, kw_only=True, slots=True)
class CapacityShare:
    """
    Define how much of an upstream's capacity an organisation may use.

    Attributes
    ----------
    guarantee : float
        Share of the capacity, 0 to 1, available to it whenever it has calls.
    weight : float
        Relative weight in the distribution of idle capacity.
    ceiling : float
        Share of the capacity, 0 to 1, that it never exceeds.
    """

    guarantee: float = 0
    weight: float = 1.0
    ceiling: float = 1.0


DEFAULT_SHARE = CapacityShare()


def get_shares(
    organisations: Mapping[str, Organisation],
) -> dict[str, CapacityShare]:
    """
    Return the shares that the configuration declares.

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
        name: CapacityShare(
            guarantee=organisation.guarantee,
            weight=organisation.weight,
            ceiling=organisation.ceiling,
        )
        for name, organisation in organisations.items()
    }


def get_fair_share(
    shares: Mapping[str, CapacityShare],
    organisation: str,
    active: Iterable[str],
) -> float:
    """
    Return the fair share of an organisation while others are active.

    Parameters
    ----------
    shares : mapping
        Shares by organisation.
    organisation : str
        Organisation whose share is computed.
    active : iterable of str
        Organisations that hold slots or have calls waiting.

    Returns
    -------
    float
        Share of the capacity, 0 to 1: its guarantee plus its weighted part of
        the capacity not guaranteed to active organisations, limited by its
        ceiling.
    """
    names = {organisation, *active}
    known = {name: shares.get(name, DEFAULT_SHARE) for name in names}
    guaranteed = sum(share.guarantee for share in known.values())
    weights = sum(share.weight for share in known.values())
    own = known[organisation]
    redistributed = max(0, 1 - guaranteed) * own.weight / weights
    return min(own.guarantee + redistributed, own.ceiling)
