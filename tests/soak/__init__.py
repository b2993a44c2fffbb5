"""Tests of the soak test itself, and short runs of it."""
