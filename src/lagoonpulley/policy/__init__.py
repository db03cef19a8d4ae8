"""What operators set: queues, services, teams, keys and limits."""
