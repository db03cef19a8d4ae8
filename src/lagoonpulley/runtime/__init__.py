"""Roles, their mailboxes and the calls between them."""
