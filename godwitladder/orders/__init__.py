"""Orders to targets, issued by one process at a time under leases in the log."""
