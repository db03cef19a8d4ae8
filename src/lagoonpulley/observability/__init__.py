"""Logs, metrics and explanations of decisions."""
