"""Measurements: never part of the tests, and never judged by time in CI."""
