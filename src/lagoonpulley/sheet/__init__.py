"""Parser for the sheet of teams and queues, and its diff against the configuration."""
