"""Actor runtime: roles, their mailboxes and the calls between them."""
