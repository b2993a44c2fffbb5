"""Tests of membership."""
