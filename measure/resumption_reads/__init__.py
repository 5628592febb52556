"""Model of the reads that gateways share among callers who resume streams."""
