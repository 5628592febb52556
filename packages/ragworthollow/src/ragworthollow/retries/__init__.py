"""Limit retries and hedged attempts."""

from ragworthollow.retries.budget import RetryBudget

__all__ = ('RetryBudget',)
