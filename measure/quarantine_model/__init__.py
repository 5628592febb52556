"""Simulate requests that crash the engines that run them, in virtual time."""
