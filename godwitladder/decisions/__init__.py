"""Decisions under load: pure code without network, actors or clock."""
