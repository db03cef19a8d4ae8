"""Requests of callers: admission, acceptance, cancellation and state."""
