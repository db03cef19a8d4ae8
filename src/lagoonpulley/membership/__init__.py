"""Failure detection between entries by heartbeat, and discovery of group owners."""
