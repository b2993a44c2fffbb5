"""Cases of an independent review."""
