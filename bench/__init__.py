"""Benchmarks: they aren't part of the tests, and CI sets no limits on their times."""
