"""Rollouts of new versions: counts of their answers, trials, and their status."""
