"""Tracks which hosts are live, and maintains the links between them."""
