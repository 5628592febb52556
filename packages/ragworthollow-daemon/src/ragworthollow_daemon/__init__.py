"""Run one process of the system: an entry or a sidecar."""
