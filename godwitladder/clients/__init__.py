"""Clients of the platform's log, host list and weight store."""
