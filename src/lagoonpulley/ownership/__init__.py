"""Session leases of entries and ownership of worker groups."""
