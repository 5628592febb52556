"""Serve multi-stage model pipelines for organisations that share a fleet."""

__version__ = '0.1.0'
