"""Pass callers' requests through to upstream pools, by route."""
