"""Life cycle of jobs and tasks in the worker groups that this process owns."""
