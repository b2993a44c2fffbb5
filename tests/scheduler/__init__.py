"""Tests for `godwitladder.scheduler`."""
