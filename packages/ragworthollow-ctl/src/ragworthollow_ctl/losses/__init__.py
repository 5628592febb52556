"""Analyse logs for requests that were not served, and why."""

from ragworthollow_ctl.losses.loss_account import LossAccount
from ragworthollow_ctl.losses.rendering import render_account

__all__ = (
    'LossAccount',
    'render_account',
)
