"""One entry instance: its roles, ports and life."""
