"""Clients of the targets: language engines and plain services."""
