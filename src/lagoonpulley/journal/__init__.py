"""Journals of the job and task documents of worker groups, kept in the store."""
