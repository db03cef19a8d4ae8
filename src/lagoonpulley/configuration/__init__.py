"""The operators' configuration: one document with an increasing revision."""
