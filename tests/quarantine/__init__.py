"""Tests of the quarantine of crashing requests."""
