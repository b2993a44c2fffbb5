"""Clients of the platform's services, one module for each."""
