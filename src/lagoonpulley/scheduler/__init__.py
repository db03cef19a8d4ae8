"""Life cycle of jobs and tasks in the groups that this entry owns."""
