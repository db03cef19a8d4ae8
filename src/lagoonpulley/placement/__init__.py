"""Placement decisions: a pure core without I/O, clock or randomness."""
