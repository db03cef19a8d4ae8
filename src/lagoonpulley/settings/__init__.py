"""Settings of one entry, read from JSON and validated."""
