"""Callers' requests: submission, cancellation and state of jobs."""
