"""Define orders to engines and select the next order."""

import enum
from collections.abc import Mapping

from ragworthollow.utils.message import Message


class Action(enum.StrEnum):
    """Select the operation that an engine performs."""

    load = 'load'
    unload = 'unload'


class EngineOrder(Message):
    """
    Order an engine to load or unload one model.

    Attributes
    ----------
    fence : int
        Fencing token, which increases with each new holder of the right to
        send orders.
    action : Action
        Operation to perform.
    model, version : str
        Model to load or unload.
    """

    fence: int
    action: Action
    model: str
    version: str


class EngineModels(Message):
    """
    Report the models that an engine has loaded.

    Attributes
    ----------
    models : dict
        Version by model.
    """

    models: dict[str, str] = {}


def plan_order(
    loaded: Mapping[str, str],
    assigned: Mapping[str, str],
    fence: int,
) -> EngineOrder | None:
    """
    Select the next order to send.

    Loads come first, so that no assigned model is missing while another
    model is unloaded; a new version replaces the old version only after it
    has been loaded.

    Parameters
    ----------
    loaded, assigned : mapping
        Version by model, of the models that the engine has loaded and of
        those that it should serve.
    fence : int
        Fencing token of the process that sends the order.

    Returns
    -------
    EngineOrder or None
        Next order, or None when the engine has loaded exactly the assigned
        models.
    """
    for model, version in sorted(assigned.items()):
        if loaded.get(model) != version:
            return EngineOrder(
                fence=fence,
                action=Action.load,
                model=model,
                version=version,
            )
    for model, version in sorted(loaded.items()):
        if model not in assigned:
            return EngineOrder(
                fence=fence,
                action=Action.unload,
                model=model,
                version=version,
            )
    return None
