"""Analyse logs for requests that were not served, and why."""

from ragworthollow_ctl.losses.grouping import Grouping
from ragworthollow_ctl.losses.loss_account import LossAccount
from ragworthollow_ctl.losses.rendering import render_account

__all__ = (
    'Grouping',
    'LossAccount',
    'render_account',
)
