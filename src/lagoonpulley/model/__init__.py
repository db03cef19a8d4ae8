"""Data types that all roles share: resources, jobs, tasks and verdicts."""
