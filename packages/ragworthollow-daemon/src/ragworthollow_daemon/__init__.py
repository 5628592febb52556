"""Run one process of the system: an entry, a sidecar or a gateway."""
