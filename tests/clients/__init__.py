"""Tests of the clients of outside services."""
