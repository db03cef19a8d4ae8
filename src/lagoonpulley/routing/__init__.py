"""Routing of API requests to the entry that owns the target worker group.

An entry is one scheduler process; an entry that owns a group places its tasks.
"""
