"""Assign models to engines and derive the load and unload orders."""

from ragworthollow.engines.order import Action, EngineOrder, plan_order
from ragworthollow.engines.placement import (
    get_assigned_models,
    get_model_engines,
)

__all__ = (
    'Action',
    'EngineOrder',
    'get_assigned_models',
    'get_model_engines',
    'plan_order',
)
