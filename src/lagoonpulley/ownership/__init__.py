"""Session lease of an entry and ownership of worker groups."""
