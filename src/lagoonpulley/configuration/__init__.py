"""The operators' configuration: one document with a rising revision."""
