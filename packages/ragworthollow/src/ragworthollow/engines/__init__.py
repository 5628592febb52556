"""Assign models to engines and derive the load and unload orders."""

from ragworthollow.engines.order import Action, EngineOrder, plan_order
from ragworthollow.engines.placement import get_carriers, get_wanted

__all__ = ('Action', 'EngineOrder', 'get_carriers', 'get_wanted', 'plan_order')
