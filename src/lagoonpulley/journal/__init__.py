"""Durable job documents in the platform's store, with group commit."""
