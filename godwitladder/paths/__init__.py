"""Connections to targets, directly or through another host."""
