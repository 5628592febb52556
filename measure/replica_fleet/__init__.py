"""Simulate a fleet of gateways that poll the store, in virtual time."""
