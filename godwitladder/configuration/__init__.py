"""Configuration built by replaying numbered change tickets from the platform log."""
