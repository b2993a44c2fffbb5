"""Tests of orders to targets."""
