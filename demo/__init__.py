"""Demonstration: a small fleet on one machine, and calls to it."""
