"""Tests of the clients of targets."""
