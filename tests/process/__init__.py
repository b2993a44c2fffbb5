"""Tests of the life of a host's process."""
