"""Heartbeats between entries and the state of each peer."""
