"""Claims of idempotency keys, settled by the order of the platform's log."""
