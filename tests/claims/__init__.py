"""Tests of claims and keys."""
