"""Command-line tool to check, show and change the configuration."""
