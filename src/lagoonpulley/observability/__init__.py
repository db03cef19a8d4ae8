"""Logs, metrics and explanations of scheduling decisions."""
