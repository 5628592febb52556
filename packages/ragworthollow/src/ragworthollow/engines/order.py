"""Define orders to engines and choose the next one."""

import enum
from collections.abc import Mapping

from ragworthollow.utils.message import Message


class Action(enum.StrEnum):
    """Name what an engine is to do."""

    load = 'load'
    unload = 'unload'


class EngineOrder(Message):
    """
    Order one change of an engine.

    Attributes
    ----------
    fence : int
        Fencing number, which grows with each new holder of the order right.
    action : Action
        What to do.
    model, version : str
        With what.
    """

    fence: int
    action: Action
    model: str
    version: str


class EngineModels(Message):
    """
    Tell what an engine carries.

    Attributes
    ----------
    models : dict
        Version by model.
    """

    models: dict[str, str] = {}


def plan_order(
    carried: Mapping[str, str],
    wanted: Mapping[str, str],
    fence: int,
) -> EngineOrder | None:
    """
    Choose the next order.

    Loads come first, so that a model is never missing while another one is
    removed; a new version replaces the old one only once it is loaded.

    Parameters
    ----------
    carried, wanted : mapping
        Version by model.
    fence : int
        Fencing number of the one who orders.

    Returns
    -------
    EngineOrder or None
        None when the engine carries what it should.
    """
    for model, version in sorted(wanted.items()):
        if carried.get(model) != version:
            return EngineOrder(
                fence=fence,
                action=Action.load,
                model=model,
                version=version,
            )
    for model, version in sorted(carried.items()):
        if model not in wanted:
            return EngineOrder(
                fence=fence,
                action=Action.unload,
                model=model,
                version=version,
            )
    return None
