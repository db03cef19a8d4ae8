"""Decisions about jobs made of steps: pure, without I/O, clock or randomness."""
