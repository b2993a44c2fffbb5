"""Claims of idempotency keys, resolved by record order in the platform's log."""
