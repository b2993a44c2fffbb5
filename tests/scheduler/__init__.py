"""Tests of the scheduler."""
