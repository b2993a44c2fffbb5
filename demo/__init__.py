"""A small fleet on one machine, and calls that show what callers get."""
