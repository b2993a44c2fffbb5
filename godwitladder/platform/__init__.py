"""Adapter to the users' platform: its names, formats and calls, but no decisions."""
