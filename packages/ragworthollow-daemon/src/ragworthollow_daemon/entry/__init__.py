"""Receive callers' requests and run their pipeline stages."""
