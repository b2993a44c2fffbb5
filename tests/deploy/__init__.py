"""Tests of the files with which a host is built and started."""
