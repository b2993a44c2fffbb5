"""Configuration by numbered tickets, replayed from the platform's log."""
