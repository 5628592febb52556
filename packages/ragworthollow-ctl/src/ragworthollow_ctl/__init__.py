"""Check, show and change configuration from a terminal."""
