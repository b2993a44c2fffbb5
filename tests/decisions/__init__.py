"""Tests of the decisions under load."""
