"""Tests of connections to targets."""
