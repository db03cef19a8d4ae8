"""The owner of the workers: one entry at a time decides what starts where."""
