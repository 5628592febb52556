"""Forward callers' requests to upstream pools according to their routes."""
