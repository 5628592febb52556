"""End-to-end and unit tests of the serving system."""
