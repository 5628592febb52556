"""Guard one upstream instance."""
