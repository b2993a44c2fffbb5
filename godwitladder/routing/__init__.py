"""Routing of calls: the routing document, caller authentication and dispatch."""
