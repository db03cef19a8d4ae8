"""Routing of API requests to the entry that owns the target worker group."""
