"""Tests of the whole system and of its decisions."""
