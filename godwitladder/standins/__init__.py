"""Stand-ins for the platform and the targets, for tests and demonstrations."""
