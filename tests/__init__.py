"""Tests of godwitladder."""
