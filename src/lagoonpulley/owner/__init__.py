"""The owner of the workers: the elected entry that decides which task runs where."""
