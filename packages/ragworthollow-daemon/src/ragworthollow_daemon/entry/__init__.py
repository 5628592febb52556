"""Receive callers' requests and see each of them through its stages."""
