"""The owner: the elected entry (lagoonpulley process) that places all tasks."""
