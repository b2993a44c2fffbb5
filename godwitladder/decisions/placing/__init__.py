"""Where requests go, and in which order."""
