"""Limit further attempts."""

from ragworthollow.retries.budget import RetryBudget

__all__ = ('RetryBudget',)
