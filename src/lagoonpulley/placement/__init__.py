"""Deterministic placement of tasks on workers, without I/O, clock or randomness."""
