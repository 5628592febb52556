"""Simulate gateways that send to throttled instances, in virtual time."""
