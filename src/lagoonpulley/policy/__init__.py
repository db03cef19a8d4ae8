"""The operators' policy: queues, services, teams, API keys and limits."""
