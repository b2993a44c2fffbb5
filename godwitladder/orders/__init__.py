"""Orders to targets: one issuer at a time, by leases in the log."""
