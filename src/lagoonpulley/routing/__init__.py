"""Routing of callers' requests to the owner of a data centre's group."""
