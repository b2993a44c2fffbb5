"""Tests of what callers reach."""
