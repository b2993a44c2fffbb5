"""Routing documents and targets read from the platform's store, and their age."""
