"""Requests that crash the targets that run them."""
