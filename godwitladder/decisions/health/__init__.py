"""Which targets are sound, slow, leaving or crash."""
