"""Data shared by every role: resources, jobs, tasks and verdicts."""
