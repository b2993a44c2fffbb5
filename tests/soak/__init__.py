"""Tests of the soak, and its short run."""
