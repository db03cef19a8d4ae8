"""Benchmarks and long fuzz runs, kept out of the test suite for their run time."""
