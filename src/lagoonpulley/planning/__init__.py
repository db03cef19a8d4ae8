"""Scheduling decisions for multi-step jobs, free of I/O, clocks and randomness."""
