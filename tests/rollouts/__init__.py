"""Tests of the trial of new versions."""
